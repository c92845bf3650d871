/** Creates the attempts that the router decides on. */

import {
  assertInvariant,
  type Refusal,
  type RouteRequest,
  type RouterAction,
  type RouterEvent,
} from "../core/index.js";
import type { Attempt, PendingRequest } from "./pending_request.js";

export type DispatchAction = Extract<RouterAction, { type: "dispatch" }>;

/** Asserts that the account and the session allow the chosen version. */
export function createAttempt(
  route: RouteRequest,
  action: DispatchAction,
): Attempt {
  assertInvariant(
    route.kind === "service" || route.candidates.includes(action.version),
    "notAllowed",
    `Version "${action.version}" was chosen for account "${route.account}"`,
  );
  assertInvariant(
    route.sessionVersion === undefined ||
      route.sessionVersion === action.version,
    "sessionMoved",
    `Version "${action.version}" was chosen for a session on "${route.sessionVersion}"`,
  );
  return {
    number: action.attempt,
    endpoint: action.endpoint,
    version: action.version,
    isFinal: action.final,
    controller: new AbortController(),
    chunks: [],
  };
}

/** Tells the router that an attempt did not start or broke off. */
export function createFailureEvent(
  pending: PendingRequest,
  attempt: Attempt,
  refusal: Refusal,
): RouterEvent {
  const requestId = pending.route.id;
  const { number } = attempt;
  if (refusal.ran === "no" && !pending.hasWritten) {
    return { type: "refused", requestId, attempt: number, refusal };
  }
  return {
    type: "failed",
    requestId,
    attempt: number,
    ran: refusal.ran,
    delivered: pending.hasWritten,
    refusal,
  };
}
