/**
 * Store calls with a timeout, and conditional writes whose reply may be lost:
 * after a lost reply the key is read back, and the writer recognises its own
 * value.
 */

import type { Result, ResultAsync } from "neverthrow";
import type {
  ObjectStore,
  StoredObject,
  StoreFailure,
} from "../adapters/index.js";
import { runWithTimeout } from "./run_with_timeout.js";

/**
 * Timeout of store calls in the background, where a slow answer is better than
 * none. Calls on the request path set a shorter one.
 */
const STORE_CALL_TIMEOUT_MS = 10_000;

/** Limits of a store call. */
export interface StoreCallOptions {
  readonly signal: AbortSignal;
  readonly timeoutMs?: number;
}

/** Attempts in a row when a write has neither a reply nor an effect. */
const MAX_WRITE_ATTEMPTS = 3;

export interface ConfirmedWrite<T> {
  readonly key: string;
  readonly value: T;
  readonly ifVersion: number;
  /** True when the stored value was written by this write. */
  readonly isOwn: (value: unknown) => boolean;
}

export type WriteOutcome =
  | { readonly kind: "written"; readonly version: number }
  /** Another writer changed the key first. */
  | { readonly kind: "conflict"; readonly current: StoredObject | undefined }
  /** Outcome not known: the write may have taken effect or still may. */
  | StoreUnavailable;

export interface StoreUnavailable {
  readonly kind: "unavailable";
  readonly detail: string;
  readonly retryAfterMs?: number;
  /** True when the key is known to have another writer's value. */
  readonly isContended?: boolean;
}

export type ReadOutcome =
  | { readonly kind: "read"; readonly object: StoredObject | undefined }
  | StoreUnavailable;

/** Makes a store call with a timeout. */
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

/** Writes; after a lost reply reads back and retries to learn the outcome. */
export async function writeObject<T>(
  store: ObjectStore,
  write: ConfirmedWrite<T>,
  options: StoreCallOptions,
): Promise<WriteOutcome> {
  const { key, value, ifVersion } = write;
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
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
    // The conflict may be with an earlier attempt of this write that took
    // effect late.
    const readBack = await readObject(store, key, options);
    if (readBack.kind === "unavailable") {
      return { ...readBack, isContended: failure.kind === "conflict" };
    }
    const current = readBack.object;
    if (current !== undefined && write.isOwn(current.value)) {
      return { kind: "written", version: current.version };
    }
    if (failure.kind === "conflict" || (current?.version ?? 0) !== ifVersion) {
      return { kind: "conflict", current };
    }
  }
  return { kind: "unavailable", detail: `Writing "${key}": no reply` };
}
