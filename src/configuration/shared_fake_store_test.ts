/** In-memory object store for tests; each client has its own faults. */

import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type {
  ObjectStore,
  StoredObject,
  StoreFailure,
  WriteRequest,
} from "../adapters/index.js";
import { waitFor } from "../runtime/run_with_timeout.js";

/**
 * What happens to one call. `lost-before` and `lost-after` fail with an unknown
 * outcome without or with the call's effect; `late` takes effect after that
 * failure; `hang` does not answer until the caller aborts.
 */
export type Fault =
  | "none"
  | "down"
  | "hang"
  | "lost-before"
  | "lost-after"
  | "late";

type Outcome<T> = { ok: T } | { failure: StoreFailure };

const MAX_HANG_MS = 30_000;
const DOWN: StoreFailure = { kind: "unavailable", detail: "down" };
const LOST: StoreFailure = { kind: "outcome-unknown", detail: "lost" };

export class SharedFakeStore {
  readonly objects = new Map<string, StoredObject>();
  /** Every write that took effect, in order. */
  readonly writes: StoredObject[] = [];
  callCount = 0;
  readonly #changeListeners = new Set<() => void>();

  /** Creates a client; `takeFault` gives the fault of each call. */
  connect(
    takeFault: () => Fault = () => "none",
    delay: () => Promise<void> = () => new Promise(setImmediate),
  ): ObjectStore {
    const run = <T>(
      call: () => Outcome<T>,
      signal: AbortSignal,
      isWrite = false,
    ) => {
      this.callCount++;
      const attempt = async (): Promise<Outcome<T>> => {
        await delay();
        const fault = takeFault();
        if (fault === "none") return call();
        if (fault === "down") return { failure: DOWN };
        if (fault === "hang") await waitFor(MAX_HANG_MS, signal);
        if (fault === "lost-after") call();
        if (fault === "late" && isWrite) void delay().then(delay).then(call);
        return { failure: LOST };
      };
      return settle(attempt());
    };
    return {
      read: (key, signal) => run(() => ({ ok: this.objects.get(key) }), signal),
      write: (request, signal) => run(() => this.#write(request), signal, true),
      list: (_options, signal) => run(() => ({ failure: DOWN }), signal),
      watch: ({ key, version, waitMs }, signal) => {
        const wait = async (): Promise<Outcome<StoredObject | undefined>> => {
          const fault = takeFault();
          if (fault === "hang") await waitFor(MAX_HANG_MS, signal);
          if (fault !== "none") return { failure: DOWN };
          await this.#waitForChange({ key, version, waitMs, signal });
          if (takeFault() !== "none") return { failure: LOST };
          return { ok: this.objects.get(key) };
        };
        return settle(wait());
      },
    };
  }

  #write({ key, value, ifVersion }: WriteRequest): Outcome<number> {
    const version = this.objects.get(key)?.version ?? 0;
    if (version !== ifVersion) return { failure: { kind: "conflict", key } };
    const object = { key, version: version + 1, value: structuredClone(value) };
    this.objects.set(key, object);
    this.writes.push(object);
    for (const notify of [...this.#changeListeners]) notify();
    return { ok: object.version };
  }

  #waitForChange(options: {
    key: string;
    version: number;
    waitMs: number;
    signal: AbortSignal;
  }): Promise<void> {
    const { key, version, waitMs, signal } = options;
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.#changeListeners.delete(check);
        signal.removeEventListener("abort", end);
        resolve();
      };
      const check = () => {
        if ((this.objects.get(key)?.version ?? 0) !== version) end();
      };
      const timer = setTimeout(end, waitMs);
      this.#changeListeners.add(check);
      signal.addEventListener("abort", end, { once: true });
      check();
    });
  }
}

function settle<T>(attempt: Promise<Outcome<T>>): ResultAsync<T, StoreFailure> {
  return ResultAsync.fromSafePromise(attempt).andThen((outcome) =>
    "ok" in outcome ? okAsync(outcome.ok) : errAsync(outcome.failure),
  );
}
