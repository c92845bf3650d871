/** Keeps the versions of sessions in the object store; the first writer wins. */

import { err, ok, type Result } from "neverthrow";
import type { ObjectStore } from "../adapters/index.js";
import {
  parseSessionRecord,
  type Refusal,
  type SessionRecord,
} from "../core/index.js";
import { runWithTimeout } from "./scope.js";

/** A healthy store answers in milliseconds, and a caller waits. */
const SETTLE_TIMEOUT_MS = 700;
/** More than the entries that may meet on one session at the same time. */
const MAX_ATTEMPTS = 6;

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
  readonly decide: DecideRecord;
  readonly signal: AbortSignal;
}

/** Reads the record; creates or replaces it when the decision says so. */
export function settleRecord(
  store: ObjectStore,
  request: SettleRequest,
): Promise<Result<SettledRecord, Refusal | RecordsUnavailable>> {
  const { signal } = request;
  return runWithTimeout({ signal, timeoutMs: SETTLE_TIMEOUT_MS }, (scope) =>
    settleWithin(store, { ...request, signal: scope }),
  );
}

async function settleWithin(
  store: ObjectStore,
  request: SettleRequest,
): Promise<Result<SettledRecord, Refusal | RecordsUnavailable>> {
  const { key, decide, signal } = request;
  let detail = "no attempt was made";
  let replaced: SessionRecord | undefined;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
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
