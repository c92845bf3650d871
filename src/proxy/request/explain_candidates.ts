/** Describes what an entry knows of a service's endpoints for one request. */

import type { FleetView } from "../fleet/index.js";
import {
  type EndpointState,
  estimateOwnHeadLatencyMs,
  estimateSharedHeadLatencyMs,
  estimateTokensToRead,
  findRestriction,
  type GetSharedLoad,
  isCrowded,
  isHealthy,
  RESTRICTION,
} from "../placing/index.js";
import type { Service } from "../types.js";
import type { ComparedStates } from "./request_placement.js";

/** Why an endpoint can't be chosen for a first attempt now. */
export const UNUSABLE_REASON = {
  ...RESTRICTION,
  leaving: "leaving",
  /** Its data centre is being evacuated. */
  evacuated: "evacuated",
  /** A roll-out keeps the request from its version. */
  version: "version",
  /** Full, while other endpoints are closed or limited. */
  crowded: "crowded",
  /** It failed or refused, and others have not. */
  paused: "paused",
  /** After failures it gets one request at a time. */
  probation: "probation",
} as const;
export type UnusableReason =
  (typeof UNUSABLE_REASON)[keyof typeof UNUSABLE_REASON];

export interface CandidateExplanation {
  readonly id: string;
  readonly dataCentre: string;
  readonly version: string;
  /** The choice is made among the endpoints that are usable. */
  readonly isUsable: boolean;
  readonly reason?: UnusableReason;
  /** Expected time to the head of the answer, ms. */
  readonly expectedMs: number;
  readonly slots: number;
  /** Load that this entry has sent. */
  readonly own: {
    readonly running: number;
    readonly runningWork: number;
    readonly pendingTokens: number;
  };
  /** Requests of other entries, by the last report of the endpoint. */
  readonly othersRunning: number;
  /** Load that the other entries report; only where load is shared. */
  readonly shared?: {
    readonly runningWork: number;
    readonly pendingTokens: number;
  };
  /** Actual over expected time to the answer; 1 is usual. */
  readonly serviceTimeRatio: number;
  /** How long work takes on its host now; 1 is usual. */
  readonly hostSlowness: number;
  /** Tokens at the start of the prompt that it probably has cached. */
  readonly cachedTokens: number;
  /** All entries prefer it for the prompt's shared part. */
  readonly isPreferred: boolean;
  readonly isCold: boolean;
  readonly isPaused: boolean;
  readonly isClosed: boolean;
  readonly isLeaving: boolean;
  readonly limitPerSecond?: number;
}

export interface CandidateContext {
  readonly view: FleetView;
  readonly service: Service;
  readonly compared: ComparedStates;
  readonly getSharedLoad: GetSharedLoad;
}

/** Describes all endpoints of the service, by id. */
export function describeCandidates(
  context: CandidateContext,
): CandidateExplanation[] {
  const { view, service } = context;
  return view.endpoints
    .listAll()
    .filter(({ record }) => record.service === service.name)
    .sort((one, other) => (one.record.id < other.record.id ? -1 : 1))
    .map((state) => describeCandidate(state, context));
}

function describeCandidate(
  state: EndpointState,
  context: CandidateContext,
): CandidateExplanation {
  const { service, getSharedLoad } = context;
  const { options } = context.compared;
  const { nowMs, work, preferredIds } = options;
  const { record, availability, promptCache } = state;
  const { id, dataCentre, version, slots } = record;
  const tokens = estimateTokensToRead(state, work, preferredIds);
  const shared = service.isLoadShared ? getSharedLoad(id) : undefined;
  const reason = findUnusableReason(state, context);
  return {
    id,
    dataCentre,
    version,
    isUsable: reason === undefined,
    reason,
    expectedMs:
      shared === undefined
        ? estimateOwnHeadLatencyMs(state, tokens, options)
        : estimateSharedHeadLatencyMs(state, tokens, options, shared),
    slots,
    own: {
      running: state.inFlight,
      runningWork: state.runningWork,
      pendingTokens: state.pendingPromptTokens,
    },
    othersRunning: state.estimateOthersInFlight(nowMs),
    shared,
    serviceTimeRatio: state.serviceTimeRatio,
    hostSlowness: state.getHostSlowness(nowMs),
    cachedTokens: promptCache.countCachedTokens(work.model, work.parts),
    isPreferred: preferredIds.includes(id),
    isCold: state.isCold(nowMs),
    isPaused: state.isPaused(nowMs),
    isClosed: state.isClosed(nowMs),
    isLeaving: state.isLeaving,
    limitPerSecond: availability.limit.perSecond,
  };
}

/** Follows the order of the checks of a choice. */
function findUnusableReason(
  state: EndpointState,
  { view, compared }: CandidateContext,
): UnusableReason | undefined {
  const { states, candidates, options } = compared;
  if (candidates.includes(state)) return undefined;
  if (state.isLeaving) return UNUSABLE_REASON.leaving;
  if (view.evacuatedDataCentres.has(state.record.dataCentre)) {
    return UNUSABLE_REASON.evacuated;
  }
  if (!states.includes(state)) return UNUSABLE_REASON.version;
  const restriction = findRestriction(state, options);
  if (restriction !== undefined) return restriction;
  if (!isHealthy(state, options.nowMs)) {
    return state.isPaused(options.nowMs)
      ? UNUSABLE_REASON.paused
      : UNUSABLE_REASON.probation;
  }
  return isCrowded(state, options.nowMs) ? UNUSABLE_REASON.crowded : undefined;
}
