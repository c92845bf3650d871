/**
 * Chooses among endpoints whose load all entries share. It answers a load on
 * which many entries choose at the same moment by knowledge that is up to a
 * second or two old: if each took the endpoint that looks best, all would take
 * the same one. So each takes the best of a few that it draws at random, and
 * counts what it has sent itself at once.
 */

import { chooseSome } from "../choose_some.js";
import {
  type ChoiceOptions,
  type EndpointChoice,
  estimateTokensToRead,
  FIXED_ATTEMPT_MS,
  PROMPT_TOKENS_PER_MS,
  REREAD_COST_FACTOR,
} from "./endpoint_choice.js";
import type { EndpointState } from "./endpoint_state.js";

/** Load of other entries on an endpoint. */
export interface SharedLoad {
  /** Running requests, weighted by the relative run time of their models. */
  readonly runningWork: number;
  /** Prompt tokens of requests without an answer yet, weighted likewise. */
  readonly pendingTokens: number;
}

export type GetSharedLoad = (endpointId: string) => SharedLoad;

/**
 * Endpoints that are compared, beside those that should have the prompt cached.
 * Of two, one is often busy when the load is uneven; with many, entries agree.
 */
const COMPARED_ENDPOINTS = 4;
/** Most of those that have parts of the prompt cached. */
const COMPARED_CACHING_ENDPOINTS = 2;
/**
 * How much each unit of running work delays a new request's first event, ms: a
 * step of an engine that runs the smallest model takes about as long.
 */
const DELAY_PER_RUNNING_WORK_MS = 2.5;

/** Expected time to the answer's head, ms. */
export function estimateSharedHeadLatencyMs(
  state: EndpointState,
  tokensToRead: number,
  { work, nowMs }: ChoiceOptions,
  load: SharedLoad,
): number {
  const pending = state.pendingPromptTokens + load.pendingTokens;
  const running = state.runningWork + load.runningWork;
  const usualMs =
    FIXED_ATTEMPT_MS +
    (pending + tokensToRead * work.tokenTimeRatio) / PROMPT_TOKENS_PER_MS +
    running * DELAY_PER_RUNNING_WORK_MS;
  return state.serviceTimeRatio * state.getHostSlowness(nowMs) * usualMs;
}

/** `candidates` may all get the request; undefined if there are none. */
export function chooseBySharedLoad(
  candidates: readonly EndpointState[],
  options: ChoiceOptions,
  getSharedLoad: GetSharedLoad,
): EndpointChoice | undefined {
  const { work, preferredIds, nowMs, limits } = options;
  const compared = chooseCompared(candidates, options);
  const tokens = new Map(
    compared.map((state) => [
      state,
      estimateTokensToRead(state, work, preferredIds),
    ]),
  );
  const fewestTokens = Math.min(...tokens.values());
  let best: EndpointChoice | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const [state, tokensToRead] of tokens) {
    const load = getSharedLoad(state.record.id);
    const expectedMs = estimateSharedHeadLatencyMs(
      state,
      tokensToRead,
      options,
      load,
    );
    const coldFactor = state.isCold(nowMs) ? 2 : 1;
    const rereadMs =
      ((REREAD_COST_FACTOR - 1) *
        (tokensToRead - fewestTokens) *
        work.tokenTimeRatio) /
      PROMPT_TOKENS_PER_MS;
    const score =
      (expectedMs * coldFactor + rereadMs) * limits.getScoreFactor(state);
    if (score >= bestScore) continue;
    bestScore = score;
    best = { state, expectedMs, candidateCount: candidates.length };
  }
  return best;
}

/**
 * Some at random, with those that should have the prompt's shared part cached,
 * and those to which this entry has sent most of it.
 */
function chooseCompared(
  candidates: readonly EndpointState[],
  { work, preferredIds, random }: ChoiceOptions,
): EndpointState[] {
  const cachedTokens = new Map(
    candidates.map((state) => [
      state,
      state.promptCache.countCachedTokens(work.model, work.parts),
    ]),
  );
  const getCached = (state: EndpointState) => cachedTokens.get(state) ?? 0;
  const caching = candidates
    .filter((state) => getCached(state) > 0)
    .sort((one, other) => getCached(other) - getCached(one))
    .slice(0, COMPARED_CACHING_ENDPOINTS);
  const isLikely = (state: EndpointState) =>
    preferredIds.includes(state.record.id) || caching.includes(state);
  const others = candidates.filter((state) => !isLikely(state));
  return [
    ...candidates.filter(isLikely),
    ...chooseSome(others, COMPARED_ENDPOINTS, random),
  ];
}
