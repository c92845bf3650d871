/** What the soak test did and saw, for the checks at its end. */

import type { Ticket } from "../schema/index.js";
import type { ExitStatus } from "../standins/managed_process.js";
import type { CallerOutcome } from "../testbed/callers.js";

/** All times are of the system clock, which the stand-ins' records use. */
export interface CallRecord {
  readonly kind: "chat" | "order" | "lookup";
  readonly entry: string;
  readonly account: string;
  /** Request class, or the plain service. */
  readonly requestClass: string;
  readonly idempotencyKey?: string;
  readonly session?: string;
  readonly sentMs: number;
  readonly doneMs: number;
  /** The caller closed the connection before the answer. */
  readonly isAbandoned: boolean;
  readonly outcome: CallerOutcome;
}

export interface TicketRecord {
  readonly ticket: Ticket;
  readonly entry: string;
  readonly sentMs: number;
  readonly doneMs: number;
  /** Absent when the connection broke. */
  readonly status: number | undefined;
  /** Refusal code, "accepted" or "spreading". */
  readonly result: string;
  readonly revision: number;
}

/** One run of a daemon process, from its start to its exit. */
export interface ProcessLifetime {
  readonly member: string;
  readonly startedMs: number;
  /** SIGTERM was sent. */
  stopRequestedMs?: number;
  /** SIGKILL was sent. */
  killedMs?: number;
  endedMs?: number;
  status?: ExitStatus;
}

export interface Period {
  readonly subject: string;
  readonly fromMs: number;
  toMs: number;
}

export class Journal {
  readonly calls: CallRecord[] = [];
  readonly tickets: TicketRecord[] = [];
  readonly lives: ProcessLifetime[] = [];
  /** Members frozen by SIGSTOP. */
  readonly freezes: Period[] = [];
  /** Members named as leaving in the host list. */
  readonly leavings: Period[] = [];
  /** Back ends that turned cold, by endpoint. */
  readonly colds: Period[] = [];
  readonly faults = new Map<string, number>();

  countFault(kind: string): void {
    this.faults.set(kind, (this.faults.get(kind) ?? 0) + 1);
  }

  /** Adds a period that starts now; the caller sets its end later. */
  startPeriod(list: Period[], subject: string): Period {
    const fromMs = Date.now();
    const period = { subject, fromMs, toMs: Number.POSITIVE_INFINITY };
    list.push(period);
    return period;
  }

  listLifetimes(member: string): ProcessLifetime[] {
    return this.lives.filter((lifetime) => lifetime.member === member);
  }
}
