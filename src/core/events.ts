/**
 * Events into and actions out of the router. The entry role and the bench
 * feed the same state machine, so what the bench measures is what runs.
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
  /** Estimate from the body's size. */
  readonly promptTokens: number;
  /** Equal for requests that share a prompt prefix; absent when unknown. */
  readonly prefixHash?: string;
}

export type RouterEvent =
  | { readonly type: "submit"; readonly request: RouteRequest }
  /** The caller went away. */
  | { readonly type: "abandon"; readonly requestId: string }
  /** The gate accepted the attempt. */
  | {
      readonly type: "started";
      readonly requestId: string;
      readonly attempt: number;
    }
  /** The attempt's answer is whole. */
  | {
      readonly type: "completed";
      readonly requestId: string;
      readonly attempt: number;
      readonly promptTokens: number;
      readonly outputTokens: number;
    }
  /** The gate refused the attempt before it started. */
  | {
      readonly type: "refused";
      readonly requestId: string;
      readonly attempt: number;
      readonly refusal: Refusal;
    }
  /** The attempt broke off. */
  | {
      readonly type: "failed";
      readonly requestId: string;
      readonly attempt: number;
      readonly ran: Ran;
      /** True when the caller has part of the answer, so no retry is possible. */
      readonly delivered: boolean;
      readonly refusal: Refusal;
    }
  /** `passed` is absent when the judge did not answer. */
  | {
      readonly type: "judged";
      readonly requestId: string;
      readonly attempt: number;
      readonly passed?: boolean;
    }
  /** Late ratings, or counts reported by another entry. */
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
  /** Sent every 50 ms: expires deadlines and retries queued requests. */
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
  /** The roll-out guard cuts a version; the entry commits it as a hold. */
  | {
      readonly type: "hold-version";
      readonly version: string;
      readonly reason: string;
    };
