/**
 * The router's events and actions. The entry and the bench drive the same state
 * machine, so that the bench measures the code that runs.
 */

import type { EndpointStatus, FleetState, Priority } from "../schema/index.js";
import type { Ran, Refusal } from "./errors.js";

/** A caller's request after authentication and permission checks. */
export interface RouteRequest {
  readonly id: string;
  readonly account: string;
  readonly requestClass: string;
  readonly kind: "model" | "service";
  /** Plain service to call; empty for a model request. */
  readonly service: string;
  readonly idempotent: boolean;
  readonly priority: Priority;
  /** On the clock of `handle`'s `nowMs`. */
  readonly deadlineAtMs: number;
  /** Least share of acceptable answers; absent when the class has none. */
  readonly qualityTarget?: number;
  /** Versions that the account may use for the request; empty for a service. */
  readonly candidates: readonly string[];
  /** The session's version; the request then goes to no other. */
  readonly sessionVersion?: string;
  /** Estimated from the body's size. */
  readonly promptTokens: number;
  /** Equal for requests that share a prompt prefix; absent when unknown. */
  readonly prefixHash?: string;
}

export type RouterEvent =
  | { readonly type: "submit"; readonly request: RouteRequest }
  /** The caller closed its connection. */
  | { readonly type: "abandon"; readonly requestId: string }
  /** The endpoint's gate accepted the attempt. */
  | {
      readonly type: "started";
      readonly requestId: string;
      readonly attempt: number;
    }
  /** The attempt's answer is complete. */
  | {
      readonly type: "completed";
      readonly requestId: string;
      readonly attempt: number;
      readonly promptTokens: number;
      readonly outputTokens: number;
    }
  /** The endpoint's gate refused the attempt before it started. */
  | {
      readonly type: "refused";
      readonly requestId: string;
      readonly attempt: number;
      readonly refusal: Refusal;
    }
  /** The attempt ended without a complete answer. */
  | {
      readonly type: "failed";
      readonly requestId: string;
      readonly attempt: number;
      readonly ran: Ran;
      /** True when the caller has part of the answer; no retry is possible. */
      readonly delivered: boolean;
      readonly refusal: Refusal;
    }
  /** The judge's verdict; `passed` is absent when the judge did not answer. */
  | {
      readonly type: "judged";
      readonly requestId: string;
      readonly attempt: number;
      readonly passed?: boolean;
    }
  /** Ratings, which arrive after the answers, here or at another entry. */
  | {
      readonly type: "rated";
      readonly requestClass: string;
      readonly version: string;
      readonly accepted: number;
      readonly rejected: number;
    }
  | { readonly type: "endpoint-status"; readonly status: EndpointStatus }
  | { readonly type: "endpoint-gone"; readonly endpoint: string }
  | { readonly type: "state"; readonly state: FleetState }
  /** Sent every 50 ms: expires deadlines and sends queued requests. */
  | { readonly type: "tick" };

export type RouterAction =
  | {
      readonly type: "dispatch";
      readonly requestId: string;
      readonly attempt: number;
      readonly endpoint: string;
      readonly version: string;
      readonly remainingMs: number;
      /** True when no judge follows, so the answer may be streamed at once. */
      readonly final: boolean;
    }
  | {
      readonly type: "cancel-attempt";
      readonly requestId: string;
      readonly attempt: number;
      readonly endpoint: string;
    }
  | {
      readonly type: "judge";
      readonly requestId: string;
      readonly attempt: number;
      readonly version: string;
    }
  /** The attempt's output is the answer of the request. */
  | {
      readonly type: "answer";
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      readonly type: "refuse";
      readonly requestId: string;
      readonly refusal: Refusal;
    }
  /** The roll-out guard stops a version; the entry commits a hold on it. */
  | {
      readonly type: "hold-version";
      readonly version: string;
      readonly reason: string;
    };
