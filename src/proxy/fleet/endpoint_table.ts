/** All endpoints that one entry may choose from, by id. */

import { LRUCache } from "lru-cache";
import { EndpointState, type EndpointWishes } from "../placing/index.js";
import type { EndpointRecord } from "../types.js";

/**
 * How long a record that vanished just after a store outage counts as there:
 * records that lapsed in the outage are written again within this time.
 */
const LAPSE_GRACE_MS = 2_000;

/** Endpoints that are remembered after their records vanished. */
const MAX_REMEMBERED = 1_000;

export interface TableChange {
  readonly event: "endpoint-added" | "endpoint-leaving" | "endpoint-removed";
  readonly record: EndpointRecord;
}

export class EndpointTable {
  readonly #endpoints = new Map<string, EndpointState>();
  readonly #lapsed = new Map<string, number>();
  /**
   * Wishes of endpoints whose records vanished, as at a loss of the store.
   * Where the same life comes back, they still hold.
   */
  readonly #vanished = new LRUCache<
    string,
    Pick<EndpointState, "record" | "wishes">
  >({ max: MAX_REMEMBERED });
  #graceUntilMs = Number.NEGATIVE_INFINITY;

  /** Tells that the store answers again after it did not. */
  startGrace(nowMs: number): void {
    this.#graceUntilMs = nowMs + LAPSE_GRACE_MS;
  }

  /** Replaces all records by a whole list of the store. */
  replaceAll(records: readonly EndpointRecord[], nowMs: number): TableChange[] {
    const ids = new Set(records.map((record) => record.id));
    const missing = [...this.#endpoints.keys()].filter((id) => !ids.has(id));
    return [
      ...missing.flatMap((id) => this.remove(id, nowMs)),
      ...records.flatMap((record) => this.put(record, nowMs)),
    ];
  }

  put(record: EndpointRecord, nowMs: number): TableChange[] {
    this.#lapsed.delete(record.id);
    const known = this.#endpoints.get(record.id);
    if (known === undefined || !isSameLife(known.record, record)) {
      const wishes = this.#recall(record);
      const state = new EndpointState(record, nowMs, wishes);
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

  remove(id: string, nowMs: number): TableChange[] {
    const known = this.#endpoints.get(id);
    if (known === undefined) return [];
    if (nowMs < this.#graceUntilMs && !known.isLeaving) {
      if (!this.#lapsed.has(id)) this.#lapsed.set(id, this.#graceUntilMs);
      return [];
    }
    return this.#delete(id, known);
  }

  /** Removes records whose grace has ended. */
  expire(nowMs: number): TableChange[] {
    const changes: TableChange[] = [];
    for (const [id, untilMs] of this.#lapsed) {
      if (nowMs < untilMs) continue;
      this.#lapsed.delete(id);
      const known = this.#endpoints.get(id);
      if (known !== undefined) changes.push(...this.#delete(id, known));
    }
    return changes;
  }

  /** What the same life asked for before its record vanished. */
  #recall(record: EndpointRecord): EndpointWishes | undefined {
    const known = this.#vanished.get(record.id);
    this.#vanished.delete(record.id);
    // Without the time of its start a new life can't be told from the old.
    const isKnown =
      known !== undefined &&
      record.startedAtMs !== undefined &&
      isSameLife(known.record, record);
    return isKnown ? known.wishes : undefined;
  }

  #delete(id: string, known: EndpointState): TableChange[] {
    this.#endpoints.delete(id);
    const { record, wishes } = known;
    this.#vanished.set(id, { record, wishes });
    this.#lapsed.delete(id);
    return [{ event: "endpoint-removed", record: known.record }];
  }

  get(id: string): EndpointState | undefined {
    return this.#endpoints.get(id);
  }

  /** Endpoints of a service that may get new work. */
  list(service: string): EndpointState[] {
    return [...this.#endpoints.values()].filter(
      (state) => state.record.service === service && !state.isLeaving,
    );
  }

  listDataCentre(dataCentre: string): EndpointState[] {
    return [...this.#endpoints.values()].filter(
      ({ record }) => record.dataCentre === dataCentre,
    );
  }

  get size(): number {
    return this.#endpoints.size;
  }
}

function isSameLife(one: EndpointRecord, other: EndpointRecord): boolean {
  return (
    one.startedAtMs === other.startedAtMs &&
    one.address === other.address &&
    one.port === other.port
  );
}
