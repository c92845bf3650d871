/** Keeps the versions of sessions in the object store; the first writer wins. */

import { err, ok, type Result } from "neverthrow";
import type { ObjectStore } from "../adapters/index.js";
import {
  parseSessionRecord,
  type Refusal,
  type SessionRecord,
} from "../core/index.js";
import { runWithTimeout, waitFor } from "../runtime/run_with_timeout.js";

/** A healthy store answers in milliseconds, and a caller waits. */
export const SETTLE_TIMEOUT_MS = 700;
/** While the store is known to fail, one short call finds out if it is back. */
const PROBE_TIMEOUT_MS = 150;
/** Covers several lost replies, and entries that meet on one session. */
const MAX_ATTEMPTS = 6;
const FIRST_PAUSE_MS = 2;

/** Gives the record to write, or undefined to keep the one that is there. */
export type DecideRecord = (
  current: SessionRecord | undefined,
) => Result<SessionRecord | undefined, Refusal>;

export interface SettledRecord {
  readonly record: SessionRecord;
  /** The record that this call replaced. */
  readonly replaced?: SessionRecord;
}

/** The store gave no usable answer in time. */
export interface RecordsUnavailable {
  readonly kind: "records-unavailable";
  readonly detail: string;
}

export interface SettleRequest {
  readonly key: string;
  /** True while the store is known to fail. */
  readonly isProbe: boolean;
  readonly settleMs: number;
  readonly decide: DecideRecord;
  readonly signal: AbortSignal;
}

/** Reads the record; creates or replaces it when the decision says so. */
export function settleRecord(
  store: ObjectStore,
  request: SettleRequest,
): Promise<Result<SettledRecord, Refusal | RecordsUnavailable>> {
  const { signal, isProbe, settleMs } = request;
  const timeoutMs = isProbe ? PROBE_TIMEOUT_MS : settleMs;
  return runWithTimeout({ signal, timeoutMs }, (scope) =>
    settleWithin(store, { ...request, signal: scope }),
  );
}

async function settleWithin(
  store: ObjectStore,
  request: SettleRequest,
): Promise<Result<SettledRecord, Refusal | RecordsUnavailable>> {
  const { key, decide, signal, isProbe } = request;
  const attempts = isProbe ? 1 : MAX_ATTEMPTS;
  let detail = "no attempt was made";
  let replaced: SessionRecord | undefined;
  for (let attempt = 0; attempt < attempts; attempt++) {
    if (attempt > 0) await waitFor(FIRST_PAUSE_MS * 2 ** attempt, signal);
    if (signal.aborted) break;
    const read = await store.read(key, signal);
    if (read.isErr()) {
      detail = read.error.kind;
      continue;
    }
    const current = parseCurrent(read.value?.value);
    if (current.isErr()) return err(current.error);
    const decision = decide(current.value);
    if (decision.isErr()) return err(decision.error);
    const next = decision.value;
    if (next === undefined) {
      if (current.value === undefined) break;
      return ok({ record: current.value, replaced });
    }
    const ifVersion = read.value?.version ?? 0;
    // Also when another entry replaces it first: the session moves either way.
    replaced = current.value ?? replaced;
    const written = await store.write({ key, value: next, ifVersion }, signal);
    if (written.isOk()) return ok({ record: next, replaced });
    // After a conflict or a lost reply the next read tells what is there.
    detail = written.error.kind;
  }
  return err({ kind: "records-unavailable", detail });
}

function parseCurrent(
  value: unknown,
): Result<SessionRecord | undefined, Refusal> {
  return value === undefined ? ok(undefined) : parseSessionRecord(value);
}
