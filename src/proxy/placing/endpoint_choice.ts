/**
 * Chooses the endpoint for one attempt: the one with the least expected time to
 * the answer. Long prompts delay everything that runs beside them, so waiting
 * prompts count by their tokens. A prompt costs less where its first parts are
 * cached, and endpoints differ in speed.
 */

import type { PromptPart } from "../types.js";
import type { EndpointState } from "./endpoint_state.js";

export interface PromptWork {
  readonly model: string;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Time per prompt token of this model, divided by the smallest model's. */
  readonly tokenTimeRatio: number;
}

/** What this entry may send to endpoints that limit their rate. */
export interface LimitTokens {
  /** True where the endpoint may get a request now, or has no limit. */
  hasToken(state: EndpointState): boolean;
  /** Factor of the endpoint's score; below 1 prefers it. */
  getScoreFactor(state: EndpointState): number;
}

/** For endpoints that have no limit. */
export const NO_LIMITS: LimitTokens = {
  hasToken: () => true,
  getScoreFactor: () => 1,
};

export interface ChoiceOptions {
  readonly work: PromptWork;
  readonly nowMs: number;
  readonly random: () => number;
  /** Ids of the endpoints that this request was sent to before. */
  readonly triedIds: ReadonlySet<string>;
  /** Ids of the endpoints that should cache the shared parts, best first. */
  readonly preferredIds: readonly string[];
  /** How many entries send to the same endpoints. */
  readonly entryCount: number;
  /** Requests per second that a cold endpoint takes from this entry. */
  readonly getColdPerSecond: (endpointId: string) => number;
  readonly limits: LimitTokens;
}

/** Fixed time of an attempt before the first prompt token is read. */
export const FIXED_ATTEMPT_MS = 6;
/**
 * Prompt tokens per millisecond that an engine of usual speed reads with the
 * smallest model. The `serviceTimeRatio` that is learned per endpoint corrects
 * it.
 */
export const PROMPT_TOKENS_PER_MS = 300;
/** How much each running request delays the reading of a prompt. */
const DELAY_PER_RUNNING_MS = 0.6;
/** Wait for a slot, for each request above the number of slots. */
const DELAY_PER_WAITING_MS = 60;
/**
 * Chance that a preferred endpoint has the shared parts cached although this
 * entry didn't send them there, best endpoint first. Unequal, so that all
 * entries use the same endpoint unless it is busy.
 */
const CACHED_CHANCES = [0.9, 0.4];
/**
 * Cost of reading a prompt token that another endpoint has cached, against the
 * time alone: it is also paid for, and delays what runs beside it.
 */
export const REREAD_COST_FACTOR = 3;
/** Requests per slot from which an endpoint is crowded. */
const CROWDED_PER_SLOT = 2;
/**
 * Random part of a score, so that entries that see the same state don't all
 * choose the same endpoint.
 */
const SCORE_JITTER = 0.15;

/** Prompt tokens that the endpoint has to read, as they are not cached. */
export function estimateTokensToRead(
  state: EndpointState,
  work: PromptWork,
  preferredIds: readonly string[],
): number {
  const cached = state.promptCache.countCachedTokens(work.model, work.parts);
  const shared = work.parts
    .slice(0, -1)
    .reduce((sum, part) => sum + part.tokens, 0);
  const expectedCached =
    (CACHED_CHANCES[preferredIds.indexOf(state.record.id)] ?? 0) * shared;
  return Math.max(1, work.promptTokens - Math.max(cached, expectedCached));
}

/** Expected time to the answer's head, ms, as far as this entry sees load. */
export function estimateOwnHeadLatencyMs(
  state: EndpointState,
  tokensToRead: number,
  options: ChoiceOptions,
): number {
  return state.serviceTimeRatio * estimateUsualMs(state, tokensToRead, options);
}

/** Expected time to the answer's head on an endpoint of usual speed, ms. */
function estimateUsualMs(
  state: EndpointState,
  tokensToRead: number,
  options: ChoiceOptions,
): number {
  const { work, nowMs, entryCount } = options;
  const weightedTokens = tokensToRead * work.tokenTimeRatio;
  // Prompts of other entries can't be seen here; assume they send as much.
  const pending =
    state.pendingPromptTokens * Math.max(1, Math.sqrt(entryCount));
  const load = state.estimateLoad(nowMs);
  const waiting = Math.max(0, load + 1 - state.record.slots);
  return (
    FIXED_ATTEMPT_MS +
    (pending + weightedTokens) / PROMPT_TOKENS_PER_MS +
    load * DELAY_PER_RUNNING_MS +
    waiting * DELAY_PER_WAITING_MS
  );
}

export interface EndpointChoice {
  readonly state: EndpointState;
  /** Expected time to the answer's head. */
  readonly expectedMs: number;
  /** How many endpoints could be chosen from. */
  readonly candidateCount: number;
}

/** Why an endpoint may get no request now, whatever the state of others. */
export const RESTRICTION = {
  /** It asks for no requests. */
  closed: "closed",
  /** This entry has used its part of the endpoint's rate limit. */
  limited: "limited",
  /** It is cold, and this entry has used its part of its rate. */
  cold: "cold",
} as const;
export type Restriction = (typeof RESTRICTION)[keyof typeof RESTRICTION];

export function findRestriction(
  state: EndpointState,
  options: ChoiceOptions,
): Restriction | undefined {
  const { nowMs, getColdPerSecond, limits } = options;
  if (state.isClosed(nowMs)) return RESTRICTION.closed;
  if (!limits.hasToken(state)) return RESTRICTION.limited;
  if (!state.isCold(nowMs)) return undefined;
  const perSecond = getColdPerSecond(state.record.id);
  const hasCredit = perSecond > 0 && state.hasColdCredit(perSecond, nowMs);
  return hasCredit ? undefined : RESTRICTION.cold;
}

/**
 * True where as many requests wait as run: one more would wait for longer than
 * it runs.
 */
export function isCrowded(state: EndpointState, nowMs: number): boolean {
  return state.estimateLoad(nowMs) >= CROWDED_PER_SLOT * state.record.slots;
}

/** False where other endpoints are preferred for its failures or refusals. */
export function isHealthy(state: EndpointState, nowMs: number): boolean {
  return !state.isPaused(nowMs) && !(state.isOnProbation && state.inFlight > 0);
}

/** Endpoints that may get the request now. */
export function listCandidates(
  states: readonly EndpointState[],
  options: ChoiceOptions,
): EndpointState[] {
  const { nowMs, triedIds, limits } = options;
  // Load that endpoints don't take must not crowd the others.
  const isAnyRestricted = states.some(
    (state) => state.isClosed(nowMs) || !limits.hasToken(state),
  );
  const available = states.filter(
    (state) =>
      findRestriction(state, options) === undefined &&
      !(isAnyRestricted && isCrowded(state, nowMs)),
  );
  const untried = available.filter((state) => !triedIds.has(state.record.id));
  const healthy = untried.filter((state) => isHealthy(state, nowMs));
  // A paused endpoint is better than none.
  return healthy.length > 0 ? healthy : untried;
}

/** Undefined when no endpoint may get the request now. */
export function chooseEndpoint(
  states: readonly EndpointState[],
  options: ChoiceOptions,
): EndpointChoice | undefined {
  const { nowMs, random, work, preferredIds, limits } = options;
  const candidates = listCandidates(states, options);
  const tokenCounts = candidates.map((state) =>
    estimateTokensToRead(state, work, preferredIds),
  );
  const fewestTokens = Math.min(...tokenCounts);
  let best: EndpointChoice | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const [index, state] of candidates.entries()) {
    const tokens = tokenCounts[index] ?? 0;
    const expectedMs = estimateOwnHeadLatencyMs(state, tokens, options);
    const coldFactor = state.isCold(nowMs) ? 2 : 1;
    // Extra cost of the tokens that another endpoint has cached.
    const rereadMs =
      ((REREAD_COST_FACTOR - 1) *
        ((tokens - fewestTokens) * work.tokenTimeRatio)) /
      PROMPT_TOKENS_PER_MS;
    const score =
      (expectedMs * coldFactor + rereadMs) *
      (1 + SCORE_JITTER * random()) *
      limits.getScoreFactor(state);
    if (score >= bestScore) continue;
    bestScore = score;
    best = { state, expectedMs, candidateCount: candidates.length };
  }
  return best;
}
