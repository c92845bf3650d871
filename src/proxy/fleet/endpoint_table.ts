/** The endpoints that one entry knows, by id. */

import { LRUCache } from "lru-cache";
import { type AnnouncedAvailability, EndpointState } from "../placing/index.js";
import type { EndpointRecord } from "../types.js";
import { isLaterRecord, isOlder, isSameProcess } from "./record_order.js";

/**
 * Time after a store outage in which removed records stay in the table.
 * Records expire in the outage while their endpoints run on; these write them
 * again within this time.
 */
const EXPIRY_GRACE_MS = 2_000;

/**
 * How long a record is held back that is older than the one in use, ms. A write
 * whose answer was lost takes effect some seconds late and is replaced by the
 * endpoint's next heartbeat. A record that stays stored for longer is used, as
 * that of an endpoint whose host's clock was set back before its start.
 */
const OUTDATED_HOLD_MS = 10_000;

/** Removed endpoints that are remembered, with their last record. */
const MAX_REMEMBERED_ENDPOINTS = 1_000;

export interface EndpointChange {
  readonly event:
    | "endpoint-added"
    | "endpoint-leaving"
    | "endpoint-removed"
    | "endpoint-record-outdated";
  readonly record: EndpointRecord;
  /** Sequence of the newer record for which `record` is not used. */
  readonly newerSequence?: number;
}

interface HeldRecord {
  readonly record: EndpointRecord;
  readonly untilMs: number;
}

export class EndpointTable {
  readonly #endpoints = new Map<string, EndpointState>();
  /** Removed records that stay until the grace ends, by id. */
  readonly #graceEndMsById = new Map<string, number>();
  /** Records that are older than the ones in use, by id. */
  readonly #heldRecords = new Map<string, HeldRecord>();
  /**
   * Removed endpoints. The availability that they had announced holds again if
   * the record of the same process returns, as after a store outage.
   */
  readonly #removedEndpoints = new LRUCache<
    string,
    Pick<EndpointState, "record" | "availability">
  >({ max: MAX_REMEMBERED_ENDPOINTS });
  #graceUntilMs = Number.NEGATIVE_INFINITY;

  /** To be called when the store answers again after an outage. */
  startLapseGrace(nowMs: number): void {
    this.#graceUntilMs = nowMs + EXPIRY_GRACE_MS;
  }

  /** Replaces all records by a full listing of the store. */
  replaceAll(
    records: readonly EndpointRecord[],
    nowMs: number,
  ): EndpointChange[] {
    const ids = new Set(records.map((record) => record.id));
    const missing = [...this.#endpoints.keys()].filter((id) => !ids.has(id));
    return [
      ...missing.flatMap((id) => this.remove(id, nowMs)),
      ...records.flatMap((record) => this.put(record, nowMs)),
    ];
  }

  put(record: EndpointRecord, nowMs: number): EndpointChange[] {
    const newer = this.#findNewerRecord(record);
    if (newer !== undefined) return this.#holdBack(record, newer, nowMs);
    return this.#apply(record, nowMs);
  }

  #apply(record: EndpointRecord, nowMs: number): EndpointChange[] {
    this.#heldRecords.delete(record.id);
    this.#graceEndMsById.delete(record.id);
    const known = this.#endpoints.get(record.id);
    if (known === undefined || !isSameProcess(known.record, record)) {
      const availability = this.#takeAvailability(record);
      const state = new EndpointState(record, nowMs, availability);
      state.setColdUntil(nowMs + record.coldLeftMs);
      this.#endpoints.set(record.id, state);
      return [{ event: "endpoint-added", record }];
    }
    const wasLeaving = known.record.isLeaving;
    known.record = record;
    known.setColdUntil(nowMs + record.coldLeftMs);
    if (wasLeaving === record.isLeaving) return [];
    return record.isLeaving ? [{ event: "endpoint-leaving", record }] : [];
  }

  /** `lastRecord` is the one that was stored until now, if that is known. */
  remove(
    id: string,
    nowMs: number,
    lastRecord?: EndpointRecord,
  ): EndpointChange[] {
    this.#heldRecords.delete(id);
    const known = this.#endpoints.get(id);
    if (known === undefined) return [];
    // Changes of the sequence alone may have gone unreported until now.
    if (lastRecord !== undefined && isLaterRecord(lastRecord, known.record))
      known.record = lastRecord;
    if (nowMs < this.#graceUntilMs && !known.isLeaving) {
      if (!this.#graceEndMsById.has(id))
        this.#graceEndMsById.set(id, this.#graceUntilMs);
      return [];
    }
    return this.#delete(id, known);
  }

  /** Applies what was put off: removals in grace, and records held back. */
  applyDue(nowMs: number): EndpointChange[] {
    const changes: EndpointChange[] = [];
    for (const { record, untilMs } of this.#heldRecords.values())
      if (nowMs >= untilMs) changes.push(...this.#apply(record, nowMs));
    for (const [id, untilMs] of this.#graceEndMsById) {
      if (nowMs < untilMs) continue;
      this.#graceEndMsById.delete(id);
      const known = this.#endpoints.get(id);
      if (known !== undefined) changes.push(...this.#delete(id, known));
    }
    return changes;
  }

  /** True when a newer record is in use, or was until the removal. */
  hasNewer(record: EndpointRecord): boolean {
    return this.#findNewerRecord(record) !== undefined;
  }

  /** The record in use, or that of the removed endpoint, if it is newer. */
  #findNewerRecord(record: EndpointRecord): EndpointRecord | undefined {
    const known = this.#endpoints.get(record.id)?.record;
    const latest = known ?? this.#removedEndpoints.peek(record.id)?.record;
    if (latest === undefined) return undefined;
    const isEnding = known === undefined || known.isLeaving;
    return isOlder(record, latest, isEnding) ? latest : undefined;
  }

  #holdBack(
    record: EndpointRecord,
    newer: EndpointRecord,
    nowMs: number,
  ): EndpointChange[] {
    const held = this.#heldRecords.get(record.id)?.record;
    // Listing the store again returns the same record.
    const isHeld =
      held?.startedAtMs === record.startedAtMs &&
      held?.sequence === record.sequence;
    if (held !== undefined && isHeld) return [];
    const untilMs = nowMs + OUTDATED_HOLD_MS;
    this.#heldRecords.set(record.id, { record, untilMs });
    const { sequence: newerSequence } = newer;
    return [{ event: "endpoint-record-outdated", record, newerSequence }];
  }

  /** Availability to restore if the record is one of a removed process. */
  #takeAvailability(record: EndpointRecord): AnnouncedAvailability | undefined {
    const known = this.#removedEndpoints.get(record.id);
    this.#removedEndpoints.delete(record.id);
    // Without a start time a restarted process looks like the old one.
    const canRestore =
      known !== undefined &&
      record.startedAtMs !== undefined &&
      isSameProcess(known.record, record);
    return canRestore ? known.availability : undefined;
  }

  #delete(id: string, known: EndpointState): EndpointChange[] {
    this.#endpoints.delete(id);
    const { record, availability } = known;
    this.#removedEndpoints.set(id, { record, availability });
    this.#graceEndMsById.delete(id);
    return [{ event: "endpoint-removed", record: known.record }];
  }

  /**
   * True when the record's process is known to be removed or leaving, and the
   * record does not say so. Unlike `hasNewer` it doesn't compare sequences,
   * which may be lower after a restore of the store.
   */
  isOutdated(record: EndpointRecord): boolean {
    const removed = this.#removedEndpoints.peek(record.id);
    if (removed !== undefined) return isSameProcess(removed.record, record);
    const known = this.#endpoints.get(record.id);
    return (
      known !== undefined &&
      isSameProcess(known.record, record) &&
      known.record.isLeaving &&
      !record.isLeaving
    );
  }

  get(id: string): EndpointState | undefined {
    return this.#endpoints.get(id);
  }

  /** Endpoints of a service that are not leaving. */
  listNotLeaving(service: string): EndpointState[] {
    return [...this.#endpoints.values()].filter(
      (state) => state.record.service === service && !state.isLeaving,
    );
  }

  listInDataCentre(dataCentre: string): EndpointState[] {
    return [...this.#endpoints.values()].filter(
      ({ record }) => record.dataCentre === dataCentre,
    );
  }

  listAll(): EndpointState[] {
    return [...this.#endpoints.values()];
  }

  get size(): number {
    return this.#endpoints.size;
  }
}
