/** Virtual clock and fake object store with injected faults, for tests. */

import assert from "node:assert/strict";
import { it } from "node:test";
import { setImmediate as waitForImmediate } from "node:timers/promises";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type {
  ObjectStore,
  StoredObject,
  StoreFailure,
  WriteRequest,
} from "../adapters/index.js";
import type { LedgerPage, Receipt } from "../schema/index.js";
import type { Clock } from "./clock.js";

export class VirtualClock implements Clock {
  #nowMs = 1_000_000_000_000;
  #timers: { atMs: number; wake: () => void }[] = [];

  now(): number {
    return this.#nowMs;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      this.#timers.push({ atMs: this.#nowMs + ms, wake: resolve });
      signal?.addEventListener("abort", () => resolve(), { once: true });
    });
  }

  /** Advances the time and fires each timer when it is due. */
  async advance(ms: number): Promise<void> {
    const endMs = this.#nowMs + ms;
    for (;;) {
      await waitForImmediate();
      this.#timers.sort((a, b) => a.atMs - b.atMs);
      const next = this.#timers[0];
      if (next === undefined || next.atMs > endMs) break;
      this.#timers.shift();
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      next.wake();
    }
    this.#nowMs = endMs;
  }

  /** Advances the time until the promise settles, at most `ms`. */
  async runUntilSettled<T>(promise: Promise<T>, ms = 60_000): Promise<T> {
    let isSettled = false;
    const watched = promise.finally(() => {
      isSettled = true;
    });
    watched.catch(() => undefined);
    for (let elapsedMs = 0; elapsedMs < ms && !isSettled; elapsedMs += 50) {
      await this.advance(50);
    }
    assert.ok(isSettled, `The call did not end within ${ms} virtual ms`);
    return watched;
  }
}

export type Random = (below: number) => number;

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return (below) => uniformInt(generator, 0, below - 1);
}

/**
 * Fault of one call. A "lost-reply" call takes effect, a "lost" one does not,
 * and a "late" one does so only after the caller got no reply.
 */
export type StoreFault =
  | "none"
  | "unavailable"
  | "lost-reply"
  | "lost"
  | "late";

export class FakeStore implements ObjectStore {
  readonly objects = new Map<string, StoredObject>();
  isDown = false;
  calls = 0;
  readonly #clock: VirtualClock;
  readonly #chooseFault: (key: string) => StoreFault;

  constructor(clock: VirtualClock, chooseFault: (key: string) => StoreFault) {
    this.#clock = clock;
    this.#chooseFault = chooseFault;
  }

  /** A store whose calls have the given faults in turn, and then none. */
  static createScripted(
    clock: VirtualClock,
    faults: StoreFault[] = [],
  ): FakeStore {
    return new FakeStore(clock, () => faults.shift() ?? "none");
  }

  #call<T>(apply: () => Result<T, StoreFailure>, key: string) {
    return new ResultAsync<T, StoreFailure>(this.#answer(apply, key));
  }

  async #answer<T>(
    apply: () => Result<T, StoreFailure>,
    key: string,
  ): Promise<Result<T, StoreFailure>> {
    this.calls += 1;
    const lost = { kind: "outcome-unknown", detail: "no reply" } as const;
    const fault = this.isDown ? "unavailable" : this.#chooseFault(key);
    await this.#clock.sleep(2);
    if (fault === "unavailable") {
      return err({ kind: "unavailable", detail: "down" });
    }
    if (fault === "lost") return err(lost);
    if (fault === "late") {
      void this.#clock.sleep(300).then(apply);
      return err(lost);
    }
    const result = apply();
    await this.#clock.sleep(1);
    return fault === "lost-reply" ? err(lost) : result;
  }

  read(key: string) {
    return this.#call<StoredObject | undefined>(
      () => ok(structuredClone(this.objects.get(key))),
      key,
    );
  }

  write({ key, value, ifVersion }: WriteRequest) {
    const copy = structuredClone(value);
    return this.#call<number>(() => {
      const version = this.objects.get(key)?.version ?? 0;
      if (version !== ifVersion) return err({ kind: "conflict", key });
      this.objects.set(key, { key, value: copy, version: version + 1 });
      return ok(version + 1);
    }, key);
  }

  list(options: { prefix: string; after?: string; limit?: number }) {
    return this.#call<StoredObject[]>(
      () =>
        ok(
          this.listAll(options.prefix)
            .filter(({ key }) => key > (options.after ?? ""))
            .slice(0, options.limit ?? 1_000),
        ),
      options.prefix,
    );
  }

  watch({ key }: { key: string }) {
    return this.read(key);
  }

  listAll(prefix: string): StoredObject[] {
    return [...this.objects.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .map((object) => structuredClone(object));
  }
}

export function createReceipt(requestId: string, padding = 0): Receipt {
  const step = { endpoint: "gpu-1", promptTokens: 10, outputTokens: 5 };
  return {
    requestId,
    account: "pumps",
    requestClass: "chat".padEnd(padding + 4, "."),
    steps: [
      { ...step, version: "small-1", cost: 1 },
      { ...step, version: "large-1", cost: 4 },
    ],
    cost: 5,
    atMs: 1,
  };
}

/** Number of stored receipts for each request id. */
export function countReceiptCopies(store: FakeStore): Map<string, number> {
  const copies = new Map<string, number>();
  for (const { key, value } of store.listAll("ledger/")) {
    const receipts = key.startsWith("ledger/recovered/")
      ? [(value as { receipt: Receipt }).receipt]
      : (value as LedgerPage).receipts;
    for (const { requestId } of receipts) {
      copies.set(requestId, (copies.get(requestId) ?? 0) + 1);
    }
  }
  return copies;
}

it("applies a write whose reply is lost, so that callers must read back", async () => {
  const clock = new VirtualClock();
  const store = FakeStore.createScripted(clock, ["lost-reply"]);
  const write = store.write({ key: "a", value: 1, ifVersion: 0 });
  const result = await clock.runUntilSettled(Promise.resolve(write));
  assert.equal(result._unsafeUnwrapErr().kind, "outcome-unknown");
  assert.equal(store.objects.get("a")?.value, 1);
});
