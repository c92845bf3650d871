/** The status streams to attached entries. */

import type { EndpointStatus } from "../schema/index.js";
import type { AttachCall } from "./endpoint_service.js";

const MIN_STATUS_PERIOD_MS = 1_000;

/** Changes that entries must hear of at once; counts wait for the period. */
function formatUrgentPart(status: EndpointStatus): string {
  const { epoch, versions, services, limit, revision, leaving, cold } = status;
  return JSON.stringify([
    epoch,
    versions,
    services,
    limit,
    revision,
    leaving,
    cold,
  ]);
}

export class StatusWatchers {
  readonly #describe: () => EndpointStatus;
  /** Time of the last status by stream. */
  readonly #calls = new Map<AttachCall, number>();
  #isClosed = false;
  #lastUrgentPart = "";

  constructor(describe: () => EndpointStatus) {
    this.#describe = describe;
  }

  add(call: AttachCall, nowMs: number): void {
    call.write(this.#describe());
    if (this.#isClosed) {
      call.end();
      return;
    }
    this.#calls.set(call, nowMs);
    call.on("cancelled", () => this.#calls.delete(call));
    call.on("error", () => this.#calls.delete(call));
  }

  /** True while the entry process `{entry}-{incarnation}` is attached. */
  has(process: string): boolean {
    return [...this.#calls.keys()].some(
      ({ request }) => `${request.entry}-${request.incarnation}` === process,
    );
  }

  /** True while a later start of the entry process is attached. */
  hasSuccessor(process: string): boolean {
    return [...this.#calls.keys()].some(({ request }) => {
      const { entry, incarnation } = request;
      const prefix = `${entry}-`;
      if (!process.startsWith(prefix)) return false;
      const other = process.slice(prefix.length);
      // An incarnation has no dash, so "a-b-1" is no start of entry "a".
      return !other.includes("-") && other !== incarnation;
    });
  }

  /** Sends the status on an urgent change and after each stream's period. */
  update(nowMs: number): void {
    const status = this.#describe();
    const urgentPart = formatUrgentPart(status);
    const isUrgent = urgentPart !== this.#lastUrgentPart;
    this.#lastUrgentPart = urgentPart;
    for (const [call, sentAtMs] of this.#calls) {
      const { statusPeriodMs } = call.request;
      const periodMs = Math.max(MIN_STATUS_PERIOD_MS, statusPeriodMs);
      if (!isUrgent && nowMs - sentAtMs < periodMs) continue;
      call.write(status);
      this.#calls.set(call, nowMs);
    }
  }

  /** Ends all streams, after the last status was sent. */
  close(): void {
    this.#isClosed = true;
    for (const call of this.#calls.keys()) call.end();
    this.#calls.clear();
  }
}
