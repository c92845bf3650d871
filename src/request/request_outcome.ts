/** Describes how a request ended, for the reports and for its answer. */

import type { Refusal, RouteRequest } from "../core/index.js";
import type { EndpointDirectory } from "../entry/endpoint_directory.js";
import type {
  End,
  EndpointStatus,
  FleetState,
  Receipt,
  ReceiptStep,
} from "../schema/index.js";
import type { AnswerInfo } from "./answer_writers.js";
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
    sessionMoveReason: pending.session.moveReason,
  };
}

/** Creates the receipt step that bills one completed attempt. */
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
 * Lists the endpoints that may hold a copy of a receipt, in the order in which
 * to ask them. One in another data centre comes first: the loss of a data
 * centre takes this entry and the endpoints in the same data centre.
 */
export function listReceiptHolders(
  statuses: readonly EndpointStatus[],
  options: {
    readonly dataCentre: string;
    /** Endpoint of the last step; asked after the one that is elsewhere. */
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
