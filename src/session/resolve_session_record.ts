/**
 * Reads and writes the records of sessions in the object store. Of entries that
 * write at the same time, the first one wins and the others take its version.
 */

import { err, ok, type Result } from "neverthrow";
import type { ObjectStore } from "../adapters/index.js";
import {
  parseSessionRecord,
  type Refusal,
  type SessionRecord,
} from "../core/index.js";
import { runWithTimeout, waitFor } from "../runtime/run_with_timeout.js";

/**
 * Timeout of all attempts together. A healthy store answers in milliseconds,
 * and a caller waits meanwhile.
 */
export const STORE_TIMEOUT_MS = 700;
/** While the store fails, one short attempt checks whether it answers again. */
const PROBE_TIMEOUT_MS = 150;
/** Enough for several lost replies and for conflicts with other entries. */
const MAX_ATTEMPTS = 6;
/** The delay before attempt `n`, counted from 0, is this times `2 ** n`. */
const RETRY_DELAY_BASE_MS = 2;

/** Returns the record to write, or undefined to keep the current one. */
export type DecideRecord = (
  current: SessionRecord | undefined,
) => Result<SessionRecord | undefined, Refusal>;

export interface ResolvedRecord {
  readonly record: SessionRecord;
  /** The record that this call replaced, or tried to replace. */
  readonly replaced?: SessionRecord;
}

/** The store could not be read or written in time. */
export interface RecordsUnavailable {
  readonly kind: "records-unavailable";
  readonly detail: string;
}

export interface RecordRequest {
  readonly key: string;
  /** True when the previous call found the store unavailable. */
  readonly isProbe: boolean;
  readonly storeTimeoutMs: number;
  readonly decide: DecideRecord;
  readonly signal: AbortSignal;
}

/** Reads the record, and creates or replaces it when `decide` returns one. */
export function resolveSessionRecord(
  store: ObjectStore,
  request: RecordRequest,
): Promise<Result<ResolvedRecord, Refusal | RecordsUnavailable>> {
  const { signal, isProbe, storeTimeoutMs } = request;
  const timeoutMs = isProbe ? PROBE_TIMEOUT_MS : storeTimeoutMs;
  return runWithTimeout({ signal, timeoutMs }, (timeoutSignal) =>
    resolveWithRetries(store, { ...request, signal: timeoutSignal }),
  );
}

async function resolveWithRetries(
  store: ObjectStore,
  request: RecordRequest,
): Promise<Result<ResolvedRecord, Refusal | RecordsUnavailable>> {
  const { key, decide, signal, isProbe } = request;
  const maxAttempts = isProbe ? 1 : MAX_ATTEMPTS;
  let detail = "no attempt was made";
  let replaced: SessionRecord | undefined;
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    if (attempt > 0) await waitFor(RETRY_DELAY_BASE_MS * 2 ** attempt, signal);
    if (signal.aborted) break;
    const read = await store.read(key, signal);
    if (read.isErr()) {
      detail = read.error.kind;
      continue;
    }
    const current = parseCurrentRecord(read.value?.value);
    if (current.isErr()) return err(current.error);
    const decision = decide(current.value);
    if (decision.isErr()) return err(decision.error);
    const next = decision.value;
    if (next === undefined) {
      if (current.value === undefined) break;
      return ok({ record: current.value, replaced });
    }
    const ifVersion = read.value?.version ?? 0;
    // Set even if another entry wins the write: the session moves anyway.
    replaced = current.value ?? replaced;
    const written = await store.write({ key, value: next, ifVersion }, signal);
    if (written.isOk()) return ok({ record: next, replaced });
    // After a conflict or a lost reply, the next read shows the current record.
    detail = written.error.kind;
  }
  return err({ kind: "records-unavailable", detail });
}

function parseCurrentRecord(
  value: unknown,
): Result<SessionRecord | undefined, Refusal> {
  return value === undefined ? ok(undefined) : parseSessionRecord(value);
}
