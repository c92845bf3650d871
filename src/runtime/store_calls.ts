/**
 * Conditional writes whose reply may be lost. After a lost reply the key is
 * read back, and the writer recognises its own value.
 */

import type { Result, ResultAsync } from "neverthrow";
import type {
  ObjectStore,
  StoredObject,
  StoreFailure,
} from "../adapters/index.js";
import { runWithTimeout } from "./scope.js";

/**
 * Longest store call in the background, where a slow answer is better than
 * none. A call on a request's way sets a shorter time.
 */
const STORE_CALL_TIMEOUT_MS = 10_000;

/** How long, and under whose signal, a store call may last. */
export interface StoreCallOptions {
  readonly signal: AbortSignal;
  readonly timeoutMs?: number;
}

/** Writes tried in a row when replies are lost without effect. */
const MAX_WRITE_TRIES = 3;

export interface ConfirmedWrite<T> {
  readonly key: string;
  readonly value: T;
  readonly ifVersion: number;
  /** True when the stored value is this write's. */
  readonly isOwn: (value: unknown) => boolean;
}

export type WriteOutcome =
  | { readonly kind: "written"; readonly version: number }
  /** Another writer was first. */
  | { readonly kind: "conflict"; readonly current: StoredObject | undefined }
  /** The write may take effect, now or later. */
  | Unavailable;

export interface Unavailable {
  readonly kind: "unavailable";
  readonly detail: string;
  readonly retryAfterMs?: number;
  /** True when the key is known to have another writer's value. */
  readonly isContended?: boolean;
}

export type ReadOutcome =
  | { readonly kind: "read"; readonly object: StoredObject | undefined }
  | Unavailable;

/** Makes a store call that is bounded in time. */
export function callStore<T>(
  options: StoreCallOptions,
  call: (signal: AbortSignal) => ResultAsync<T, StoreFailure>,
): Promise<Result<T, StoreFailure>> {
  const { signal, timeoutMs = STORE_CALL_TIMEOUT_MS } = options;
  return runWithTimeout({ signal, timeoutMs }, call);
}

export async function readObject(
  store: ObjectStore,
  key: string,
  options: StoreCallOptions,
): Promise<ReadOutcome> {
  const result = await callStore(options, (signal) => store.read(key, signal));
  return result.match<ReadOutcome>(
    (object) => ({ kind: "read", object }),
    (failure) => ({
      kind: "unavailable",
      detail: `Reading "${key}" failed: ${failure.kind}`,
      retryAfterMs:
        failure.kind === "rate-limited" ? failure.retryAfterMs : undefined,
    }),
  );
}

/** Writes until the outcome is known, as far as the store allows. */
export async function writeObject<T>(
  store: ObjectStore,
  write: ConfirmedWrite<T>,
  options: StoreCallOptions,
): Promise<WriteOutcome> {
  const { key, value, ifVersion } = write;
  for (let attempt = 0; attempt < MAX_WRITE_TRIES; attempt += 1) {
    const result = await callStore(options, (signal) =>
      store.write({ key, value, ifVersion }, signal),
    );
    if (result.isOk()) return { kind: "written", version: result.value };
    const failure = result.error;
    if (failure.kind === "unavailable" || failure.kind === "rate-limited") {
      const retryAfterMs =
        failure.kind === "rate-limited" ? failure.retryAfterMs : undefined;
      const detail = `Writing "${key}" failed: ${failure.kind}`;
      return { kind: "unavailable", detail, retryAfterMs };
    }
    // A conflict can be this write's own earlier try, which took effect late.
    const back = await readObject(store, key, options);
    if (back.kind === "unavailable") {
      return { ...back, isContended: failure.kind === "conflict" };
    }
    const current = back.object;
    if (current !== undefined && write.isOwn(current.value)) {
      return { kind: "written", version: current.version };
    }
    if (failure.kind === "conflict" || (current?.version ?? 0) !== ifVersion) {
      return { kind: "conflict", current };
    }
  }
  return { kind: "unavailable", detail: `Writing "${key}": no reply` };
}
