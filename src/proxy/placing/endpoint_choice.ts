/**
 * Choice of the endpoint for one attempt: the least expected time to the
 * answer. Answers the load in which long prompts hold up everything that runs
 * beside them: prompts that wait count by their tokens, a prompt whose first
 * parts an endpoint keeps costs less there, and endpoints differ in speed.
 */

import type { PromptPart } from "../types.js";
import type { EndpointState } from "./endpoint_state.js";
import type { Lane } from "./lanes.js";

export interface Work {
  readonly model: string;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Time of one prompt token at this model against the smallest one. */
  readonly weight: number;
}

export interface ChoiceOptions {
  readonly work: Work;
  readonly nowMs: number;
  readonly random: () => number;
  /** Endpoints that this request was sent to before. */
  readonly tried: ReadonlySet<string>;
  /** Ids of the endpoints that should keep the shared parts, best first. */
  readonly homes: readonly string[];
  /** Endpoints that work of this size should keep to. */
  readonly lane: Lane;
  /** Entries that send to the same endpoints. */
  readonly entries: number;
  /** Requests a second that a cold endpoint bears from this entry. */
  readonly coldPerSecond: number;
}

/** Fixed time of an attempt before the first prompt token is read, ms. */
const FIXED_MS = 6;
/**
 * Prompt tokens that an engine of usual speed reads in 1 ms at the smallest
 * model; the pace that is learned of each endpoint corrects it.
 */
const TOKENS_PER_MS = 300;
/** How much one running request slows the reading of a prompt, ms. */
const RUNNING_MS = 0.6;
/** Wait for a place where all are taken, for each request over them, ms. */
const WAITING_MS = 60;
/**
 * Chance that a home of the shared parts keeps them though unseen from here,
 * best home first. Unequal, so that all entries use one home unless it is busy.
 */
const HOME_KEEPS = [0.9, 0.4];
/**
 * Weight of a prompt token that is read again against its time alone: it is
 * also paid for, and delays what runs beside it.
 */
const READ_AGAIN_WEIGHT = 3;
/** Time for which a request outside its lane may be in the way, ms. */
const OUT_OF_LANE_MS = 300;
/** Requests for each place from which on an endpoint is crowded. */
const CROWDED_RATIO = 2;
/** Scores that differ by less are equal, so that entries don't herd. */
const TIE = 0.15;

/** Prompt tokens that the endpoint has to read. */
export function estimateTokensToRead(
  state: EndpointState,
  work: Work,
  homes: readonly string[],
): number {
  const kept = state.kept.countKept(work.model, work.parts);
  const shared = work.parts
    .slice(0, -1)
    .reduce((sum, part) => sum + part.tokens, 0);
  const guess = (HOME_KEEPS[homes.indexOf(state.record.id)] ?? 0) * shared;
  return Math.max(1, work.promptTokens - Math.max(kept, guess));
}

/** Expected time to the answer's head on an endpoint of usual speed, ms. */
function estimateStartMs(
  state: EndpointState,
  tokensToRead: number,
  options: ChoiceOptions,
): number {
  const { work, nowMs, entries } = options;
  const toRead = tokensToRead * work.weight;
  // Other entries send alike, and what they wait for can't be seen from here.
  const pending = state.pendingWork * Math.max(1, Math.sqrt(entries));
  const load = state.estimateLoad(nowMs);
  const over = Math.max(0, load + 1 - state.record.slots);
  return (
    FIXED_MS +
    (pending + toRead) / TOKENS_PER_MS +
    load * RUNNING_MS +
    over * WAITING_MS
  );
}

export interface Choice {
  readonly state: EndpointState;
  /** Expected time to the answer's head, ms. */
  readonly startMs: number;
  /** How many endpoints were open to the choice. */
  readonly candidates: number;
}

function isOpen(state: EndpointState, options: ChoiceOptions): boolean {
  const { nowMs, coldPerSecond } = options;
  if (state.isClosed(nowMs)) return false;
  if (!state.isCold(nowMs)) return true;
  return coldPerSecond > 0 && state.hasColdCredit(coldPerSecond, nowMs);
}

/** True where as many wait as run; more would wait longer than they run. */
function isCrowded(state: EndpointState, nowMs: number): boolean {
  return state.estimateLoad(nowMs) >= CROWDED_RATIO * state.record.slots;
}

/** Undefined when no endpoint may get the request now. */
export function chooseEndpoint(
  states: readonly EndpointState[],
  options: ChoiceOptions,
): Choice | undefined {
  const { nowMs, tried, random, work, homes, lane } = options;
  // Others have said that they are full: their load must not crowd the rest.
  const isShort = states.some((state) => state.isClosed(nowMs));
  const open = states.filter(
    (state) => isOpen(state, options) && !(isShort && isCrowded(state, nowMs)),
  );
  const fresh = open.filter((state) => !tried.has(state.record.id));
  const isSound = (state: EndpointState) =>
    !state.isPaused(nowMs) && !(state.isOnProbation && state.inFlight > 0);
  const sound = fresh.filter(isSound);
  // A paused endpoint is better than none.
  const list = sound.length > 0 ? sound : fresh;
  const tokens = list.map((state) => estimateTokensToRead(state, work, homes));
  const fewest = Math.min(...tokens);
  let best: Choice | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const [index, state] of list.entries()) {
    const toRead = tokens[index] ?? 0;
    const startMs = state.slowness * estimateStartMs(state, toRead, options);
    const cold = state.isCold(nowMs) ? 2 : 1;
    // Time that goes to tokens which another endpoint keeps.
    const againMs =
      ((READ_AGAIN_WEIGHT - 1) * ((toRead - fewest) * work.weight)) /
      TOKENS_PER_MS;
    const laneMs =
      lane === undefined || lane.has(state.record.id) ? 0 : OUT_OF_LANE_MS;
    const score = (startMs * cold + againMs + laneMs) * (1 + TIE * random());
    if (score >= bestScore) continue;
    bestScore = score;
    best = { state, startMs, candidates: list.length };
  }
  return best;
}
