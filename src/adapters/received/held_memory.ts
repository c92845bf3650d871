/** What one request or call holds of the memory for received data. */

import type { BodyArrival } from "./arrivals.js";
import type { Sender } from "./bounds.js";
import {
  type MemoryBudget,
  type ReceivedRefusal,
  receivedMemory,
} from "./memory_budget.js";

export class HeldMemory {
  readonly #budget: MemoryBudget;
  /** By address of the endpoint; undefined for what comes from others. */
  readonly #heldBytes = new Map<string | undefined, number>();
  #isReleased = false;

  constructor(budget = receivedMemory) {
    this.#budget = budget;
  }

  /** False where there is no more, or nobody holds the data any longer. */
  reserve(
    sender: Sender,
    bytes: number,
    totalBytes: number,
    endpoint?: string,
  ): boolean {
    if (this.#isReleased) return false;
    if (!this.#budget.reserve(sender, bytes, totalBytes, endpoint))
      return false;
    this.#add(bytes, endpoint);
    return true;
  }

  exceedsShare(bytes: number, totalBytes: number, endpoint?: string): boolean {
    return this.#budget.exceedsShare(bytes, totalBytes, endpoint);
  }

  /** Gives back a part: a body that is not needed any longer. */
  giveBack(bytes: number, endpoint?: string): void {
    if (this.#isReleased) return;
    this.#add(-bytes, endpoint);
    this.#budget.release(bytes, endpoint);
  }

  /** Counts what is held no longer as held by the endpoint. */
  takeFrom(endpoint: string | undefined, bytes: number): void {
    if (this.#isReleased || endpoint === undefined) return;
    this.#add(-bytes, endpoint);
    this.#add(bytes, undefined);
    this.#budget.release(bytes, endpoint);
    this.#budget.hold(bytes);
  }

  #add(bytes: number, endpoint: string | undefined): void {
    this.#heldBytes.set(endpoint, (this.#heldBytes.get(endpoint) ?? 0) + bytes);
  }

  /** Gives everything back, for good. */
  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    for (const [endpoint, bytes] of this.#heldBytes)
      this.#budget.release(bytes, endpoint);
  }

  /** Adds a body that arrives; see `MemoryBudget`. */
  addArrival(giveUp: () => void): BodyArrival {
    return this.#budget.addArrival(giveUp);
  }

  takeSmallChunk(): boolean {
    return this.#budget.takeSmallChunk();
  }

  report(sender: Sender, reason: ReceivedRefusal): void {
    this.#budget.report(sender, reason);
  }
}
