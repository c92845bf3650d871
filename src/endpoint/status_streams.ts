/** Sends the status of an endpoint to the attached entries. */

import type { EndpointStatus } from "../schema/index.js";
import type { AttachCall } from "./gate_service.js";

const MIN_STATUS_PERIOD_MS = 1_000;

/** The fields whose changes are sent at once instead of after the period. */
function serializeUrgentPart(status: EndpointStatus): string {
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

export class StatusStreams {
  readonly #describeStatus: () => EndpointStatus;
  /** Send time of the last status, by stream. */
  readonly #sentAtMsByCall = new Map<AttachCall, number>();
  #isClosed = false;
  #lastUrgentPart = "";

  constructor(describeStatus: () => EndpointStatus) {
    this.#describeStatus = describeStatus;
  }

  add(call: AttachCall, nowMs: number): void {
    call.write(this.#describeStatus());
    if (this.#isClosed) {
      call.end();
      return;
    }
    this.#sentAtMsByCall.set(call, nowMs);
    call.on("cancelled", () => this.#sentAtMsByCall.delete(call));
    call.on("error", () => this.#sentAtMsByCall.delete(call));
  }

  /** True while the entry process `{entry}-{incarnation}` is attached. */
  has(process: string): boolean {
    return [...this.#sentAtMsByCall.keys()].some(
      ({ request }) => `${request.entry}-${request.incarnation}` === process,
    );
  }

  /** True while another incarnation of that entry is attached. */
  isReplaced(process: string): boolean {
    return [...this.#sentAtMsByCall.keys()].some(({ request }) => {
      const { entry, incarnation } = request;
      const prefix = `${entry}-`;
      if (!process.startsWith(prefix)) return false;
      const ownIncarnation = process.slice(prefix.length);
      // An incarnation has no dash, so "a-b-1" is not a process of entry "a".
      return !ownIncarnation.includes("-") && ownIncarnation !== incarnation;
    });
  }

  /** Sends the status on an urgent change and after each stream's period. */
  update(nowMs: number): void {
    const status = this.#describeStatus();
    const urgentPart = serializeUrgentPart(status);
    const isUrgent = urgentPart !== this.#lastUrgentPart;
    this.#lastUrgentPart = urgentPart;
    for (const [call, sentAtMs] of this.#sentAtMsByCall) {
      const { statusPeriodMs } = call.request;
      const periodMs = Math.max(MIN_STATUS_PERIOD_MS, statusPeriodMs);
      if (!isUrgent && nowMs - sentAtMs < periodMs) continue;
      call.write(status);
      this.#sentAtMsByCall.set(call, nowMs);
    }
  }

  /** Ends all streams; a stream added later gets one status and ends. */
  close(): void {
    this.#isClosed = true;
    for (const call of this.#sentAtMsByCall.keys()) call.end();
    this.#sentAtMsByCall.clear();
  }
}
