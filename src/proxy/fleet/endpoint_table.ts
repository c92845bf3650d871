/** The endpoints that one entry knows, by id. */

import { LRUCache } from "lru-cache";
import { type AnnouncedAvailability, EndpointState } from "../placing/index.js";
import type { EndpointRecord } from "../types.js";

/**
 * Time after a store outage in which removed records stay in the table.
 * Records expire in the outage while their endpoints run on; these write them
 * again within this time.
 */
const EXPIRY_GRACE_MS = 2_000;

/** Removed endpoints whose availability is remembered. */
const MAX_REMEMBERED_ENDPOINTS = 1_000;

export interface EndpointChange {
  readonly event: "endpoint-added" | "endpoint-leaving" | "endpoint-removed";
  readonly record: EndpointRecord;
}

export class EndpointTable {
  readonly #endpoints = new Map<string, EndpointState>();
  /** Removed records that stay until the grace ends, by id. */
  readonly #graceEndMsById = new Map<string, number>();
  /**
   * Availability that removed endpoints had announced. It holds again if the
   * record of the same process returns, as after a store outage.
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

  remove(id: string, nowMs: number): EndpointChange[] {
    const known = this.#endpoints.get(id);
    if (known === undefined) return [];
    if (nowMs < this.#graceUntilMs && !known.isLeaving) {
      if (!this.#graceEndMsById.has(id))
        this.#graceEndMsById.set(id, this.#graceUntilMs);
      return [];
    }
    return this.#delete(id, known);
  }

  /** Removes the records whose grace has ended. */
  removeExpired(nowMs: number): EndpointChange[] {
    const changes: EndpointChange[] = [];
    for (const [id, untilMs] of this.#graceEndMsById) {
      if (nowMs < untilMs) continue;
      this.#graceEndMsById.delete(id);
      const known = this.#endpoints.get(id);
      if (known !== undefined) changes.push(...this.#delete(id, known));
    }
    return changes;
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

  /** True when the record is older than what is known of its process. */
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

/** False after a restart under the same id. */
function isSameProcess(one: EndpointRecord, other: EndpointRecord): boolean {
  return (
    one.startedAtMs === other.startedAtMs &&
    one.address === other.address &&
    one.port === other.port
  );
}
