/** What the stand-ins recorded, in the form that the checks use. */

import type { Claim, LedgerPage, Receipt } from "../schema/index.js";
import type { Fleet } from "../testbed/fleet.js";

export interface StoreWrite {
  readonly atMs: number;
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** A call that reached an engine or service. */
export interface BackEndRun {
  readonly endpoint: string;
  readonly dataCentre: string;
  readonly kind: "engine" | "service";
  readonly requestId: string;
  /** Version or plain service. */
  readonly name: string;
  readonly idempotencyKey: string;
  readonly arrivedMs: number;
  readonly endMs: number | undefined;
  /** The engine worked on it, or the service's effect took place. */
  readonly hasRun: boolean;
  readonly outcome: string;
  readonly reason: string;
}

/** An order to an engine to load a version. */
export interface EngineOrder {
  readonly endpoint: string;
  readonly version: string;
  readonly fence: number;
  readonly refused: boolean;
  readonly stale: boolean;
  readonly overlapping: boolean;
}

/** A call at a cold back end beyond the calls that it can take. */
export interface ColdOverload {
  readonly endpoint: string;
  readonly atMs: number;
}

export interface StandinRecords {
  readonly writes: readonly StoreWrite[];
  readonly runs: readonly BackEndRun[];
  readonly orders: readonly EngineOrder[];
  readonly coldOverloads: readonly ColdOverload[];
}

interface EngineRecord {
  readonly runs: readonly {
    requestId: string;
    version: string;
    arrivedAtMs: number;
    startAtMs?: number;
    endAtMs?: number;
    outcome: string;
    reason?: string;
  }[];
  readonly orders: readonly Omit<EngineOrder, "endpoint">[];
  readonly coldOverloads: readonly { atMs: number }[];
}

interface ServiceRecord {
  readonly runs: readonly {
    requestId: string;
    idempotencyKey: string;
    service: string;
    startAtMs: number;
    endAtMs?: number;
    outcome: string;
  }[];
}

interface EndpointLocation {
  readonly endpoint: string;
  readonly dataCentre: string;
}

function decodeEngineRuns(
  location: EndpointLocation,
  record: EngineRecord,
): BackEndRun[] {
  return record.runs.map((run) => ({
    ...location,
    kind: "engine",
    requestId: run.requestId,
    name: run.version,
    idempotencyKey: "",
    arrivedMs: run.arrivedAtMs,
    endMs: run.endAtMs,
    hasRun: run.startAtMs !== undefined,
    outcome: run.outcome,
    reason: run.reason ?? "",
  }));
}

function decodeServiceRuns(
  location: EndpointLocation,
  record: ServiceRecord,
): BackEndRun[] {
  return record.runs.map((run) => ({
    ...location,
    kind: "service",
    requestId: run.requestId,
    name: run.service,
    idempotencyKey: run.idempotencyKey,
    arrivedMs: run.startAtMs,
    endMs: run.endAtMs,
    hasRun: run.outcome === "ran",
    outcome: run.outcome,
    reason: "",
  }));
}

export async function readStoreWrites(fleet: Fleet): Promise<StoreWrite[]> {
  const { writes } = await fleet.readRecord<{ writes: StoreWrite[] }>("store");
  return writes;
}

export async function readStandinRecords(
  fleet: Fleet,
): Promise<StandinRecords> {
  const runs: BackEndRun[] = [];
  const orders: EngineOrder[] = [];
  const coldOverloads: ColdOverload[] = [];
  for (const { name, kind, dataCentre } of fleet.endpointSpecs) {
    const location = { endpoint: name, dataCentre };
    if (kind === "engine") {
      const record = await fleet.readRecord<EngineRecord>(`back-${name}`);
      runs.push(...decodeEngineRuns(location, record));
      orders.push(
        ...record.orders.map((order) => ({ ...order, endpoint: name })),
      );
      coldOverloads.push(
        ...record.coldOverloads.map(({ atMs }) => ({ endpoint: name, atMs })),
      );
      continue;
    }
    const record = await fleet.readRecord<ServiceRecord>(`back-${name}`);
    runs.push(...decodeServiceRuns(location, record));
    coldOverloads.push(
      ...record.runs
        .filter((run) => run.outcome === "cold-overload")
        .map((run) => ({ endpoint: name, atMs: run.startAtMs })),
    );
  }
  return { writes: await readStoreWrites(fleet), runs, orders, coldOverloads };
}

export interface Bill {
  readonly key: string;
  readonly receipt: Receipt;
}

/** Every bill in the store: in ledger pages, recovered receipts and claims. */
export function listBills(writes: readonly StoreWrite[]): Bill[] {
  const latest = new Map<string, StoreWrite>();
  for (const write of writes) latest.set(write.key, write);
  const bills: Bill[] = [];
  for (const { key, value } of latest.values()) {
    if (key.startsWith("ledger/recovered/")) {
      bills.push({ key, receipt: (value as { receipt: Receipt }).receipt });
    } else if (key.startsWith("ledger/")) {
      const { receipts } = value as LedgerPage;
      bills.push(...receipts.map((receipt) => ({ key, receipt })));
    } else if (key.startsWith("claims/")) {
      const { bill } = value as Claim;
      if (bill !== undefined) bills.push({ key, receipt: bill });
    }
  }
  return bills;
}
