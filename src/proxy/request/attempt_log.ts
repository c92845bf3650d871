/** How attempts are logged and counted. */

import type { LogFields } from "../../adapters/logger.js";
import {
  ATTEMPT_RESULT,
  type AttemptResult,
  type EndpointChoice,
} from "../placing/index.js";
import type { RequestFacts, Route, Service } from "../types.js";
import { ATTEMPT_FAILURE, type AttemptFailure } from "./send_attempt.js";

/** Callers choose the ids, so they may be of any length. */
const MAX_LOGGED_PARTS_LENGTH = 160;

export interface ChosenAttempt {
  readonly choice: EndpointChoice;
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly service: Service;
  readonly model: string;
  readonly number: number;
  readonly nowMs: number;
  /** Load of the other entries, where it is shared. */
  readonly othersWork?: number;
  /** Version of the configuration. */
  readonly config?: number;
}

/** What the endpoint was chosen by, for the log. */
export function describeChoice(attempt: ChosenAttempt): LogFields {
  const { choice, facts, route, service, model, nowMs } = attempt;
  const { state, candidateCount, expectedMs } = choice;
  return {
    request: facts.id,
    attempt: attempt.number,
    route: route.name,
    service: service.name,
    endpoint: state.record.id,
    version: state.record.version,
    model: model || undefined,
    candidates: candidateCount,
    expectedMs: Math.round(expectedMs),
    load: Math.round(state.estimateLoad(nowMs)),
    othersWork: attempt.othersWork,
    limitPerSecond: state.availability.limit.perSecond,
    parts: describeSharedParts(facts),
    fingerprint: facts.fingerprint,
    config: attempt.config,
  };
}

/** Ids of the parts that the prompt shares with others; the last is its own. */
function describeSharedParts({ parts }: RequestFacts): string | undefined {
  const text = parts
    .slice(0, -1)
    .map(({ id }) => id)
    .join(",");
  return text === "" ? undefined : text.slice(0, MAX_LOGGED_PARTS_LENGTH);
}

export function toAttemptResult(failure: AttemptFailure): AttemptResult {
  const { notRun, notSent } = ATTEMPT_FAILURE;
  if (failure.kind === notRun) return ATTEMPT_RESULT.refused;
  if (failure.kind === notSent) return ATTEMPT_RESULT.unreachable;
  return ATTEMPT_RESULT.broken;
}
