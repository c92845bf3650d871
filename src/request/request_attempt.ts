/** Creates the router's attempts, and the events of those that fail. */

import {
  assertInvariant,
  type Refusal,
  type RouteRequest,
  type RouterAction,
  type RouterEvent,
} from "../core/index.js";
import type { Attempt, PendingRequest } from "./pending_request.js";

export type DispatchAction = Extract<RouterAction, { type: "dispatch" }>;

/** Asserts that the account and the session may use the chosen version. */
export function createAttempt(
  route: RouteRequest,
  action: DispatchAction,
): Attempt {
  assertInvariant(
    route.kind === "service" || route.candidates.includes(action.version),
    "notAllowed",
    `Version "${action.version}" was chosen for account "${route.account}", which may not use it`,
  );
  assertInvariant(
    route.sessionVersion === undefined ||
      route.sessionVersion === action.version,
    "sessionMoved",
    `Version "${action.version}" was chosen for a session that has version "${route.sessionVersion}"`,
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

/**
 * Creates the router's event for an attempt that was refused or failed. It is
 * "refused" only if nothing ran and the caller has no part of an answer.
 */
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
