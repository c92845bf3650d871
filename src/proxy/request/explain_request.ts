/**
 * Explains where a request would be routed now, without sending it. It makes
 * the decisions of `RequestHandler` and of the first attempt in `RequestRun`,
 * but reserves, counts and logs nothing.
 */

import { createRefusal, type Refusal } from "../../core/errors.js";
import {
  chooseService,
  type Freshness,
  type PromptHolds,
  type SessionVersions,
} from "../fleet/index.js";
import { chooseFirstModel, PreferredEndpoints } from "../placing/index.js";
import type { RequestFacts, Service } from "../types.js";
import {
  type CandidateExplanation,
  describeCandidates,
} from "./explain_candidates.js";
import { createHeldRefusal } from "./held_refusal.js";
import { REFUSAL_MARGIN_MS } from "./request_handler.js";
import {
  type PlacementDependencies,
  RequestPlacement,
} from "./request_placement.js";
import { MIN_ATTEMPT_MS } from "./request_run.js";
import {
  type AdmittedRequest,
  createDenial,
  createStaleRefusal,
  findRouteAndAccount,
} from "./route_lookup.js";
import { createStoppingRefusal } from "./stopping_refusal.js";

export interface ExplainOptions
  extends Omit<PlacementDependencies, "preferredEndpoints" | "sessions"> {
  readonly sessions: Pick<SessionVersions, "peek">;
  readonly promptHolds: Pick<PromptHolds, "find" | "getRemainingMs">;
  readonly freshness: Pick<Freshness, "ageMs">;
  readonly maxConfigAgeMs: number;
  readonly maxDenyAgeMs: number;
  readonly isRefusingRequests: () => boolean;
  /** Monotonic clock, ms. */
  readonly now: () => number;
}

export interface RequestExplanation {
  /** Version of the configuration in force. */
  readonly config?: number;
  /** Time since the store confirmed it; missing before the first time. */
  readonly configAgeMs?: number;
  readonly route?: string;
  /** One service is drawn by weight where the route has several. */
  readonly service?: string;
  readonly account?: string;
  readonly rank?: number;
  /** The model that is asked first; the caller's where the route has none. */
  readonly model?: string;
  /** Time limit for the whole answer, ms. */
  readonly allowedMs?: number;
  /** What the caller would be answered at once. */
  readonly refusal?: Pick<Refusal, "code" | "status" | "detail">;
  /** The outcome of one choice; another draw may differ where some are close. */
  readonly choice?: {
    readonly endpoint: string;
    readonly expectedMs: number;
    readonly candidateCount: number;
  };
  readonly candidates: readonly CandidateExplanation[];
}

/** `callerModel` is the model that the caller names, if any. */
export function describeRouting(
  options: ExplainOptions,
  facts: RequestFacts,
  callerModel?: string,
): RequestExplanation {
  const { view, freshness, promptHolds, random } = options;
  const { ageMs } = freshness;
  const config = {
    config: view.catalog?.configuration.version,
    configAgeMs: Number.isFinite(ageMs) ? ageMs : undefined,
  };
  const held = promptHolds.find(facts);
  const heldRefusal = held && createHeldRefusal(promptHolds, held, () => 0);
  const admitted = decideAdmission(options, facts);
  if ("kind" in admitted) {
    const refusal = toShortRefusal(heldRefusal ?? admitted);
    return { ...config, refusal, candidates: [] };
  }
  const { route, catalog, account, rank } = admitted;
  const serviceName = chooseService(route, random);
  const common = {
    ...config,
    route: route.name,
    service: serviceName,
    account,
    rank,
    model: route.models.length > 0 ? route.models[0] : callerModel,
    allowedMs: Math.min(facts.deadlineMs ?? route.timeoutMs, route.timeoutMs),
  };
  const service = catalog.findService(serviceName);
  if (service === undefined) {
    const unknown = createRefusal("unknown-service", "The service is unknown");
    const refusal = toShortRefusal(heldRefusal ?? unknown);
    return { ...common, refusal, candidates: [] };
  }
  const placed = describePlacement(options, facts, { ...admitted, service });
  const hasTime = common.allowedMs - REFUSAL_MARGIN_MS >= MIN_ATTEMPT_MS;
  const refusal = heldRefusal ?? findRunRefusal(hasTime, placed.choice);
  return {
    ...common,
    refusal: refusal && toShortRefusal(refusal),
    choice: refusal === undefined ? placed.choice : undefined,
    candidates: placed.candidates,
  };
}

/**
 * As `RequestHandler` decides, except that a request waits up to 300 ms for the
 * store to confirm an old configuration before it is refused.
 */
function decideAdmission(
  options: ExplainOptions,
  facts: RequestFacts,
): AdmittedRequest | Refusal {
  const { view, freshness, maxConfigAgeMs, maxDenyAgeMs } = options;
  if (options.isRefusingRequests()) {
    return createStoppingRefusal("The entry stops");
  }
  if (view.catalog === undefined) {
    return createStaleRefusal("No configuration has been read yet");
  }
  const found = findRouteAndAccount(view.catalog, facts);
  if (typeof found === "object") {
    const isFresh = freshness.ageMs <= maxConfigAgeMs;
    return found.account === undefined || isFresh
      ? found
      : createStaleRefusal("The configuration may be outdated");
  }
  return freshness.ageMs <= maxDenyAgeMs
    ? createDenial(found, facts)
    : createStaleRefusal("The configuration may lack new routes and keys");
}

function describePlacement(
  options: ExplainOptions,
  facts: RequestFacts,
  { route, service }: AdmittedRequest & { readonly service: Service },
): Pick<RequestExplanation, "choice" | "candidates"> {
  const { view, sessions, getSharedLoad } = options;
  const nowMs = options.now();
  const placement = new RequestPlacement(
    {
      ...options,
      sessions: { get: (...use) => sessions.peek(...use) },
      // Its memory of other prompts would change.
      preferredEndpoints: new PreferredEndpoints(),
    },
    { facts, route, service },
  );
  const model = chooseFirstModel(route.models);
  const compared = placement.listCompared(model, nowMs);
  const choice = placement.choose(model, new Set(), nowMs);
  return {
    choice: choice && {
      endpoint: choice.state.record.id,
      expectedMs: choice.expectedMs,
      candidateCount: choice.candidateCount,
    },
    candidates: describeCandidates({ view, service, compared, getSharedLoad }),
  };
}

/** The refusal of `RequestRun` if it makes no attempt. */
function findRunRefusal(
  hasTime: boolean,
  choice: RequestExplanation["choice"],
): Refusal | undefined {
  if (!hasTime) return createRefusal("deadline-exceeded", "no time is left");
  return choice === undefined
    ? createRefusal("capacity", "no endpoint is open")
    : undefined;
}

function toShortRefusal({ code, status, detail }: Refusal) {
  return { code, status, detail };
}
