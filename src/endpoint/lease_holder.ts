/** Acquires, renews and releases one lease in the object store. */

import type { ObjectStore } from "../adapters/index.js";
import { Lease, type LeaseOptions, type LeaseWrite } from "../core/index.js";

interface LeaseHolderOptions extends LeaseOptions {
  readonly key: string;
  readonly store: ObjectStore;
  readonly getNowMs: () => number;
}

export class LeaseHolder {
  readonly #options: LeaseHolderOptions;
  readonly #lease: Lease;

  constructor(options: LeaseHolderOptions) {
    this.#options = options;
    this.#lease = new Lease(options);
  }

  get key(): string {
    return this.#options.key;
  }

  get fencing(): number {
    return this.#lease.fencing;
  }

  isHeld(): boolean {
    return this.#lease.isHeld(this.#options.getNowMs());
  }

  /** Makes one attempt; true if the lease is held afterwards. */
  async acquire(signal: AbortSignal): Promise<boolean> {
    if (this.isHeld()) return true;
    await this.#readLease(signal);
    if (this.isHeld()) return true;
    const write = this.#lease.planAcquire(this.#options.getNowMs());
    if (write !== undefined) await this.#writeLease(write, signal);
    return this.isHeld();
  }

  /** Extends the lease; true if it is held afterwards. */
  async renew(signal: AbortSignal): Promise<boolean> {
    const write = this.#lease.planRenew(this.#options.getNowMs());
    if (write !== undefined) await this.#writeLease(write, signal);
    return this.isHeld();
  }

  async release(signal: AbortSignal): Promise<void> {
    const write = this.#lease.planRelease();
    if (write !== undefined) await this.#writeLease(write, signal);
  }

  async #readLease(signal: AbortSignal): Promise<void> {
    const { store, key, getNowMs } = this.#options;
    const result = await store.read(key, signal);
    if (result.isOk()) this.#lease.observe(result.value, getNowMs());
  }

  async #writeLease(write: LeaseWrite, signal: AbortSignal): Promise<void> {
    const { store, key, getNowMs } = this.#options;
    const result = await store.write({ key, ...write }, signal);
    if (result.isOk()) {
      this.#lease.confirmWrite(write, result.value, getNowMs());
    } else if (result.error.kind === "conflict") {
      this.#lease.forget();
    } else if (result.error.kind === "outcome-unknown") {
      await this.#readLease(signal);
    }
  }
}
