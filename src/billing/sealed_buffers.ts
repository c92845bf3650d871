/**
 * Receipt buffers whose owner was sealed by an endpoint. Their receipts can no
 * longer go into pages and are written one by one.
 */

import type { ObjectStore } from "../adapters/index.js";
import type { ReceiptBuffer } from "../core/index.js";
import type { Receipt } from "../schema/index.js";
import { writeRecoveredReceipt } from "./receipt_recovery.js";

/** Kept well under the store's rate limit. */
const MAX_PARALLEL_WRITES = 8;

export interface SealedBuffersOptions {
  readonly store: ObjectStore;
  readonly onWritten: (requestId: string) => void;
}

export class SealedBuffers {
  readonly #options: SealedBuffersOptions;
  readonly #buffers = new Set<ReceiptBuffer>();

  constructor(options: SealedBuffersOptions) {
    this.#options = options;
  }

  list(): ReceiptBuffer[] {
    return [...this.#buffers];
  }

  add(buffer: ReceiptBuffer): void {
    buffer.seal();
    this.#buffers.add(buffer);
  }

  /** Writes the open receipts one by one; true when none is left. */
  async recover(signal: AbortSignal): Promise<boolean> {
    for (const buffer of this.#buffers) {
      const open = buffer.listOpen();
      for (let start = 0; start < open.length; start += MAX_PARALLEL_WRITES) {
        const batch = open.slice(start, start + MAX_PARALLEL_WRITES);
        const writeResults = await Promise.all(
          batch.map((receipt) => this.#write(buffer, receipt, signal)),
        );
        if (writeResults.includes(false)) return false;
      }
      this.#buffers.delete(buffer);
    }
    return true;
  }

  async #write(
    buffer: ReceiptBuffer,
    receipt: Receipt,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { store, onWritten } = this.#options;
    const value = { owner: buffer.owner, receipt };
    if (!(await writeRecoveredReceipt(store, value, { signal }))) return false;
    buffer.confirmRecovered(receipt.requestId);
    onWritten(receipt.requestId);
    return true;
  }
}
