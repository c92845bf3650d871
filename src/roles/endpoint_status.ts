/** The status streams to attached entries. */

import type { EndpointStatus } from "../schema/index.js";
import type { AttachCall } from "./endpoint_service.js";

const STATUS_PERIOD_MS = 1_000;

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
  readonly #calls = new Set<AttachCall>();
  #isClosed = false;
  #lastUrgentPart = "";
  #lastSentMs = Number.NEGATIVE_INFINITY;

  constructor(describe: () => EndpointStatus) {
    this.#describe = describe;
  }

  add(call: AttachCall): void {
    call.write(this.#describe());
    if (this.#isClosed) {
      call.end();
      return;
    }
    this.#calls.add(call);
    call.on("cancelled", () => this.#calls.delete(call));
    call.on("error", () => this.#calls.delete(call));
  }

  /** True while the entry process `{entry}-{incarnation}` is attached. */
  has(process: string): boolean {
    return [...this.#calls].some(
      ({ request }) => `${request.entry}-${request.incarnation}` === process,
    );
  }

  /** Sends the status when it changed or the period is over. */
  update(nowMs: number): void {
    const status = this.#describe();
    const urgentPart = formatUrgentPart(status);
    const isDue = nowMs - this.#lastSentMs >= STATUS_PERIOD_MS;
    if (!isDue && urgentPart === this.#lastUrgentPart) return;
    this.#lastUrgentPart = urgentPart;
    this.#lastSentMs = nowMs;
    for (const call of this.#calls) call.write(status);
  }

  /** Ends all streams, after the last status was sent. */
  close(): void {
    this.#isClosed = true;
    for (const call of this.#calls) call.end();
    this.#calls.clear();
  }
}
