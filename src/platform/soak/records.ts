/** What callers and replicas saw, for the checks. */

import type { ReplicaArrival } from "../standins/replica.js";
import type { MemoryPeak } from "./measure_memory.js";
import type { Stall } from "./own_stalls.js";

export const ROUTE = { safe: "safe", once: "once", stream: "stream" } as const;
export type RouteName = (typeof ROUTE)[keyof typeof ROUTE];

export interface CallRecord {
  readonly id: string;
  readonly route: RouteName;
  readonly entry: string;
  readonly key: string;
  readonly deadlineMs: number;
  /** Monotonic clock of the soak's process, ms; the same for all records. */
  readonly sentAtMs: number;
  endedAtMs: number;
  /** Undefined when the connection ended without an answer. */
  status?: number;
  body: string;
  stamp?: string;
  /** The requests that the answer and the run behind it name. */
  namedIds: readonly string[];
  /** The answer ended as its framing says. */
  isComplete: boolean;
  /** Ids of the prompt's parts but the last one. */
  readonly sharedParts: readonly string[];
  /** The prompt's last part. */
  readonly ownPart?: string;
  readonly requestBody?: string;
  /** Delay before a retry that the answer asks for, s. */
  retryAfterS?: number;
  /** Port of the caller's end of the connection. */
  localPort?: number;
  /** The entry's port has not accepted the connection. */
  isUnaccepted?: boolean;
}

/** Part of a prompt that ends each replica that begins an answer. */
export const CRASHING_PART = "bad0";
/** Kind of disturbance of a replica that has ended under that part. */
export const CRASH_KIND = "crash";
/** Kind of disturbance of a replica that a request has ended for good. */
export const REQUEST_CRASH_KIND = "request-crash";
/** Kind of a replica's silence, which is no reason to end an answer. */
export const SILENCE_KIND = "silence";

/** Kind of disturbance of a replica that sends bytes without end. */
export const FLOOD_KIND = "flood";

/** The end of a replica under a request with this body. */
export interface RequestCrash {
  readonly body: string;
  readonly replica: string;
  readonly atMs: number;
}

export interface RunRecord {
  readonly requestId: string;
  readonly replica: string;
  readonly startedAtMs: number;
  /** A silence of the replica has delayed the answer. */
  readonly wasSilent?: boolean;
  /** When the answer was complete or its connection had ended. */
  readonly endedAtMs?: number;
}

/** A request that reached a replica, refused ones too. */
export interface ArrivalRecord extends ReplicaArrival {
  readonly replica: string;
}

/** A fault, from its start to its end. */
export interface Disturbance {
  readonly kind: string;
  /** Entry or replica; undefined for the store, which all entries share. */
  readonly member?: string;
  readonly fromMs: number;
  toMs: number;
  /** True for a graceful stop that was requested. */
  readonly isPlanned?: boolean;
  /** When the process of a stopped entry was gone. */
  goneAtMs?: number;
}

export interface SoakRecords {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly arrivals: readonly ArrivalRecord[];
  /** Calls with the part that ends replicas; they need no answer. */
  readonly crashingCalls: readonly CallRecord[];
  /** Calls with requests that end replicas by themselves, and these ends. */
  readonly crashingRequests: readonly CallRecord[];
  readonly requestCrashes: readonly RequestCrash[];
  readonly disturbances: readonly Disturbance[];
  readonly ownStalls: readonly Stall[];
  /** When keys were withdrawn and replicas began to leave. */
  readonly withdrawals: ReadonlyMap<string, number>;
  readonly leavings: ReadonlyMap<string, number>;
  /** Exits of entries that no fault had caused. */
  readonly unexpectedExits: readonly string[];
  readonly memoryPeaks: readonly MemoryPeak[];
  /** Calls after all faults had ended that were not served. */
  readonly unserved: readonly string[];
}
