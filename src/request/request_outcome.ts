/** How a request ended, and what its answer says of it. */

import type { Refusal, RouteRequest } from "../core/index.js";
import type { EndpointDirectory } from "../entry/endpoint_directory.js";
import type {
  End,
  EndpointStatus,
  FleetState,
  Receipt,
  ReceiptStep,
} from "../schema/index.js";
import type { AnswerInfo } from "./answers.js";
import type { Attempt, PendingRequest } from "./pending_request.js";
import { createReceiptStep } from "./request_receipts.js";

/** How a request ended, for the log, metrics and service-level counts. */
export interface RequestOutcome {
  readonly route: RouteRequest;
  readonly version: string;
  /** Endpoint of the last attempt; empty when there was none. */
  readonly endpoint: string;
  readonly dataCentre: string;
  readonly attempts: number;
  readonly durationMs: number;
  /** Time to the first byte of the answer; absent when none was sent. */
  readonly firstByteMs?: number;
  readonly refusal?: Refusal;
  readonly receipt?: Receipt;
  readonly answer?: string;
}

export interface OutcomeOptions {
  readonly attempt: Attempt | undefined;
  readonly directory: EndpointDirectory;
  readonly nowMs: number;
  readonly receipt?: Receipt;
  readonly refusal?: Refusal;
}

export function readAnswerText(attempt: Attempt): string {
  return Buffer.concat(attempt.chunks).toString("utf8");
}

export function createOutcome(
  pending: PendingRequest,
  options: OutcomeOptions,
): RequestOutcome {
  const { attempt, directory, nowMs, receipt, refusal } = options;
  const { startedAtMs, firstByteAtMs } = pending;
  const endpoint = attempt?.endpoint ?? "";
  return {
    route: pending.route,
    version: attempt?.version ?? "",
    endpoint,
    dataCentre: directory.getStatus(endpoint)?.dataCentre ?? "",
    attempts: pending.attempts.size,
    durationMs: nowMs - startedAtMs,
    firstByteMs:
      firstByteAtMs === undefined ? undefined : firstByteAtMs - startedAtMs,
    answer: receipt && attempt ? readAnswerText(attempt) : undefined,
    receipt,
    refusal,
  };
}

export function createAnswerInfo(
  pending: PendingRequest,
  attempt: Attempt,
  revision: number,
): AnswerInfo {
  return {
    requestId: pending.route.id,
    version: attempt.version,
    revision,
    sessionToken: pending.session.token,
    sessionMoved: pending.session.moved,
  };
}

/** The bill of one attempt that ended. */
export function createAttemptStep(
  pending: PendingRequest,
  attempt: Attempt,
  options: { end: End; directory: EndpointDirectory; state: FleetState },
): ReceiptStep {
  const { end, directory, state } = options;
  return createReceiptStep(
    {
      version: attempt.version,
      service: pending.route.service,
      endpoint: attempt.endpoint,
      dataCentre: directory.getStatus(attempt.endpoint)?.dataCentre ?? "",
      promptTokens: end.promptTokens,
      outputTokens: end.outputTokens,
    },
    state,
  );
}

/**
 * Endpoints that may keep a receipt's copy, in the order in which to ask. One
 * in another data centre goes first, since the loss of a data centre would
 * take both an entry and the endpoints beside it.
 */
export function listReceiptHolders(
  statuses: readonly EndpointStatus[],
  options: {
    readonly dataCentre: string;
    /** The endpoint of the last step. */
    readonly endpoint: string;
    readonly random: () => number;
  },
): string[] {
  const { dataCentre, endpoint, random } = options;
  const usable = statuses.filter((status) => !status.leaving);
  const remote = usable.filter((status) => status.dataCentre !== dataCentre);
  const chosen = remote[Math.floor(random() * remote.length)];
  const names = [
    ...(chosen === undefined ? [] : [chosen.endpoint]),
    endpoint,
    ...usable.map((status) => status.endpoint),
  ];
  return [...new Set(names)];
}
