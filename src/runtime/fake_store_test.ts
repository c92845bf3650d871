/** Virtual time and an object store with faults, for the tests of the roles. */

import assert from "node:assert/strict";
import { it } from "node:test";
import { setImmediate as settle } from "node:timers/promises";
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

  /** Lets the time pass, timer by timer. */
  async run(ms: number): Promise<void> {
    const endMs = this.#nowMs + ms;
    for (;;) {
      await settle();
      this.#timers.sort((a, b) => a.atMs - b.atMs);
      const next = this.#timers[0];
      if (next === undefined || next.atMs > endMs) break;
      this.#timers.shift();
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      next.wake();
    }
    this.#nowMs = endMs;
  }

  /** Runs until the promise settles, at most `ms`. */
  async finish<T>(promise: Promise<T>, ms = 60_000): Promise<T> {
    let isSettled = false;
    const watched = promise.finally(() => {
      isSettled = true;
    });
    watched.catch(() => undefined);
    for (let passed = 0; passed < ms && !isSettled; passed += 50) {
      await this.run(50);
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

/** Fault of one write: what happens to the effect and to the reply. */
export type Fault = "none" | "unavailable" | "lost-reply" | "lost" | "late";

export class FakeStore implements ObjectStore {
  readonly objects = new Map<string, StoredObject>();
  isDown = false;
  calls = 0;
  readonly #clock: VirtualClock;
  readonly #pickFault: (key: string) => Fault;

  constructor(clock: VirtualClock, pickFault: (key: string) => Fault) {
    this.#clock = clock;
    this.#pickFault = pickFault;
  }

  /** A stand-alone store on which each call has the faults in turn. */
  static script(clock: VirtualClock, faults: Fault[] = []): FakeStore {
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
    const fault = this.isDown ? "unavailable" : this.#pickFault(key);
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

/** Each request id with the number of places that contain it. */
export function countPlaces(store: FakeStore): Map<string, number> {
  const places = new Map<string, number>();
  for (const { key, value } of store.listAll("ledger/")) {
    const receipts = key.startsWith("ledger/recovered/")
      ? [(value as { receipt: Receipt }).receipt]
      : (value as LedgerPage).receipts;
    for (const { requestId } of receipts) {
      places.set(requestId, (places.get(requestId) ?? 0) + 1);
    }
  }
  return places;
}

it("loses the reply after the effect, so that callers must read back", async () => {
  const clock = new VirtualClock();
  const store = FakeStore.script(clock, ["lost-reply"]);
  const write = store.write({ key: "a", value: 1, ifVersion: 0 });
  const result = await clock.finish(Promise.resolve(write));
  assert.equal(result._unsafeUnwrapErr().kind, "outcome-unknown");
  assert.equal(store.objects.get("a")?.value, 1);
});
