/** An entry's ledger, claims and pending results, with their connections. */

import { randomUUID } from "node:crypto";
import type { ObjectStore } from "../adapters/index.js";
import type { EndpointDirectory } from "../entry/endpoint_directory.js";
import type { Clock } from "../runtime/clock.js";
import type { Settings } from "../schema/index.js";
import { EntryClaims } from "./entry_claims.js";
import { EntryLedger } from "./entry_ledger.js";
import {
  createHolderCalls,
  createLookUpAttempt,
  listHolderNames,
} from "./gate_calls.js";
import { PendingResults } from "./pending_results.js";
import { ReceiptHolders } from "./receipt_holders.js";

export interface EntryBillingOptions {
  readonly settings: Settings;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
  /** Id of this start of the process. */
  readonly incarnation: string;
  /** Entries of the fleet, which share the store's rate limit. */
  readonly countEntries: () => number;
}

export class EntryBilling {
  readonly ledger: EntryLedger;
  readonly claims: EntryClaims;
  readonly #pending: PendingResults;
  readonly #listHolders: () => string[];

  constructor(options: EntryBillingOptions) {
    const { settings, store, clock, directory, incarnation } = options;
    const holders = new ReceiptHolders(createHolderCalls(directory));
    this.#listHolders = () => listHolderNames(directory);
    this.ledger = new EntryLedger({
      store,
      clock,
      holders,
      entry: settings.name,
      incarnation,
      listHolders: this.#listHolders,
      countEntries: options.countEntries,
      maxReceipts: settings.limits?.receiptCount,
      maxBytes: settings.limits?.receiptBytes,
    });
    this.#pending = new PendingResults({
      store,
      clock,
      createId: randomUUID,
      holders,
      getOwner: () => this.ledger.owner,
      listHolders: this.#listHolders,
    });
    this.claims = new EntryClaims({
      store,
      clock,
      createId: randomUUID,
      lookUpAttempt: createLookUpAttempt(directory),
      pending: this.#pending,
    });
  }

  start(signal: AbortSignal): void {
    void this.ledger.start(signal);
    void this.#pending.start(signal);
  }

  /** Writes what is open, or hands it over when the signal aborts. */
  async close(signal: AbortSignal): Promise<void> {
    // Both run to their end: a receipt that finds no holder must not prevent
    // the hand-over of the pending results.
    const closed = await Promise.allSettled([
      this.ledger.close({ holders: this.#listHolders() }, signal),
      this.#pending.close(signal),
    ]);
    for (const result of closed) {
      if (result.status === "rejected") throw result.reason;
    }
  }
}
