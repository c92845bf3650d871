/**
 * Finds the parts of prompts, or the request, under which endpoints crash. The
 * crash of an endpoint ends all requests that run there. Those of which it had
 * just begun an answer are suspects, and so is each part that their prompts
 * share with others, unless an endpoint answered it later on.
 *
 * The suspect that the most crashes have in common explains them, and the other
 * suspects of these crashes are cleared. Where a part and one request explain
 * the same crashes, the request is the cause: others may share the part.
 */

import { LRUCache } from "lru-cache";
import { isRequestId } from "./suspect_ids.js";

/** Incidents, of one or more crashes each, from which a part is their cause. */
const MIN_INCIDENTS = 3;
/** The same for a part with which endpoints had answered before. */
const MIN_INCIDENTS_AFTER_ANSWERS = 6;
/**
 * Crashes within this time are one incident, ms: endpoints that end together
 * have another cause, such as a loss of power, and many parts in common. What
 * this entry sent after the first crash is a further one.
 */
const INCIDENT_MS = 250;
/** Share of an incident's crashes that a part has to explain. */
const MIN_EXPLAINED_SHARE = 2 / 3;
/** By how much crashes that other entries saw may seem later, ms. */
const REPORT_TOLERANCE_MS = 500;
/** Crashes from which a request with the part is not retried. */
const MIN_CRASHES_OF_SUSPECT = 2;
/** Time for which a crash is evidence, ms. */
const CRASH_LIFETIME_MS = 600_000;
const MAX_CRASHES = 128;
/** Of them, crashes whose prompts are remembered, the newest ones. */
const MAX_CRASHES_WITH_PROMPTS = 32;
/** Prompts that are remembered for one crash. */
const MAX_PROMPTS_PER_CRASH = 8;
/** Parts with which endpoints answered that are remembered. */
const MAX_ANSWERED_PARTS = 5_000;
/** The same for requests; most come once only, so they are kept apart. */
const MAX_ANSWERED_REQUESTS = 2_000;

export interface CrashPrompt {
  /** Ids of the suspected parts, and of the request if it is a suspect. */
  readonly parts: readonly string[];
  /** Time from the sending of the request to the crash, ms. */
  readonly runMs: number;
}

export interface Crash {
  readonly endpoint: string;
  readonly atMs: number;
  /** This entry saw it; the times of others are less precise. */
  readonly isOwn: boolean;
  readonly prompts: readonly CrashPrompt[];
  /** Its cause is held, so what other requests saw of it is of no interest. */
  readonly isExplained?: boolean;
}

/** Suspects that a request must all have for an endpoint to crash. */
export interface CrashCause {
  readonly parts: readonly string[];
  /** Parts that may be the cause instead of a request that has them. */
  readonly rivalParts: readonly string[];
  readonly endpoints: readonly string[];
  /** Others explain as many of these crashes. */
  readonly isAmbiguous: boolean;
}

export class CrashEvidence {
  #crashes: Crash[] = [];
  /** When an endpoint last answered a prompt with the part. */
  readonly #answeredParts = new LRUCache<string, number>({
    max: MAX_ANSWERED_PARTS,
  });
  /** When an endpoint last answered the request. */
  readonly #answeredRequests = new LRUCache<string, number>({
    max: MAX_ANSWERED_REQUESTS,
  });

  /** An endpoint has begun an answer and goes on with it. */
  recordAnswer(parts: readonly string[], nowMs: number): void {
    for (const part of parts) this.#getAnswered(part).set(part, nowMs);
  }

  #getAnswered(id: string): LRUCache<string, number> {
    return isRequestId(id) ? this.#answeredRequests : this.#answeredParts;
  }

  #wasAnswered(id: string): boolean {
    return this.#getAnswered(id).has(id);
  }

  /** Returns whether the crash was not known with these prompts. */
  recordCrash(crash: Crash, nowMs: number): boolean {
    const { endpoint } = crash;
    const known = this.#crashes.find((other) => other.endpoint === endpoint);
    if (known?.isExplained) return false;
    const atMs = Math.min(crash.atMs, known?.atMs ?? crash.atMs);
    const knownPrompts = known === undefined ? [] : listRunning(known, atMs);
    const added = this.#listSuspects({
      ...crash,
      prompts: listRunning(crash, atMs),
    }).filter(
      ({ parts }) =>
        !knownPrompts.some((other) => isSameList(parts, other.parts)),
    );
    if (known !== undefined && added.length === 0) return false;
    const merged: Crash = {
      ...(known ?? crash),
      atMs,
      prompts: [...knownPrompts, ...added].slice(0, MAX_PROMPTS_PER_CRASH),
    };
    const others = this.#crashes.filter(
      (other) => other !== known && nowMs - other.atMs < CRASH_LIFETIME_MS,
    );
    this.#crashes = [...others, merged]
      .slice(-MAX_CRASHES)
      .map((other, index, all) =>
        index < all.length - MAX_CRASHES_WITH_PROMPTS
          ? { ...other, prompts: [] }
          : other,
      );
    return added.length > 0;
  }

  /**
   * Forgets the suspects of the crashes that the cause explains. Only the parts
   * of a request that is the cause remain: each of them may be the cause behind
   * it, of which further requests will tell.
   */
  removeSuspects({ parts: cause }: Pick<CrashCause, "parts">): void {
    const isOfCause = ({ parts }: CrashPrompt) => hasAll(parts, cause);
    const mayBeMore = ({ parts }: CrashPrompt) =>
      cause.some(isRequestId) && parts.length > cause.length;
    this.#crashes = this.#crashes.map((crash) => {
      const prompts = crash.prompts.filter(isOfCause);
      if (prompts.length === 0) return crash;
      const isExplained = true;
      return { ...crash, prompts: prompts.filter(mayBeMore), isExplained };
    });
  }

  /** Crashes with prompts that are still suspected. */
  listCrashes(nowMs: number): Crash[] {
    return this.#crashes
      .filter(({ atMs }) => nowMs - atMs < CRASH_LIFETIME_MS)
      .map((crash) => ({ ...crash, prompts: this.#listSuspects(crash) }))
      .filter(({ prompts }) => prompts.length > 0);
  }

  /** The causes that have enough crashes to be sure. */
  listCauses(nowMs: number): CrashCause[] {
    return this.#explainCrashes(nowMs).filter((cause) => {
      const { parts, isAmbiguous } = cause;
      if (isAmbiguous || this.#isExplained(cause)) return false;
      const wasAnswered = parts.every((part) => this.#wasAnswered(part));
      const minIncidents = wasAnswered
        ? MIN_INCIDENTS_AFTER_ANSWERS
        : MIN_INCIDENTS;
      return this.#countIncidents(cause) >= minIncidents;
    });
  }

  /** True when none of the crashes is new since their cause was held. */
  #isExplained({ endpoints }: CrashCause): boolean {
    return this.#crashes.every(
      ({ endpoint, isExplained }) =>
        isExplained || !endpoints.includes(endpoint),
    );
  }

  /** Incidents of which the cause explains most crashes. */
  #countIncidents({ parts, endpoints }: CrashCause): number {
    const explained = this.#crashes
      .filter(({ endpoint }) => endpoints.includes(endpoint))
      .sort((one, other) => one.atMs - other.atMs);
    let count = 0;
    for (let i = 0; i < explained.length; ) {
      const first = explained[i];
      if (first === undefined) break;
      const isNext = (crash: Crash) => !isSameIncident(first, crash, parts);
      const size = explained.slice(i).findIndex(isNext);
      const crashes = size < 0 ? explained.length - i : size;
      const all = this.#crashes.filter(
        ({ atMs }) => Math.abs(atMs - first.atMs) < INCIDENT_MS,
      );
      // Later crashes may be further incidents of the same cause.
      const others = all.filter(
        ({ endpoint, isExplained }) =>
          !endpoints.includes(endpoint) && !isExplained,
      );
      const share = crashes / (crashes + others.length);
      if (share >= MIN_EXPLAINED_SHARE) count++;
      i += crashes;
    }
    return count;
  }

  /** True when a request with these suspects may well lead to a crash. */
  isSuspect(ids: readonly string[], nowMs: number): boolean {
    return this.#explainCrashes(nowMs).some(
      ({ endpoints, parts, rivalParts }) => {
        if (endpoints.length < MIN_CRASHES_OF_SUSPECT) return false;
        if (parts.some(isRequestId) && hasAll(ids, parts)) return true;
        const isUnanswered = (part: string) => !this.#wasAnswered(part);
        return rivalParts.some(isUnanswered) && hasAll(ids, rivalParts);
      },
    );
  }

  /** Prompts without the parts that were answered after the crash. */
  #listSuspects({ prompts, atMs }: Crash): CrashPrompt[] {
    const isSuspected = (part: string) =>
      (this.#getAnswered(part).peek(part) ?? Number.NEGATIVE_INFINITY) < atMs;
    return prompts
      .slice(0, MAX_PROMPTS_PER_CRASH)
      .map((prompt) => ({ ...prompt, parts: prompt.parts.filter(isSuspected) }))
      .filter(({ parts }) => parts.length > 0);
  }

  /** Greedy set cover: the suspect with the most unexplained crashes is next. */
  #explainCrashes(nowMs: number): CrashCause[] {
    const causes: CrashCause[] = [];
    let unexplained = this.listCrashes(nowMs);
    while (unexplained.length > 0) {
      const candidates = this.#listCandidates(unexplained);
      const [best] = candidates;
      if (best === undefined) break;
      const prompts = unexplained
        .flatMap((crash) => crash.prompts)
        .filter(({ parts }) => parts.includes(best.part));
      // Others that explain the same crashes.
      const equals = candidates.filter(
        ({ part, endpoints }) =>
          part !== best.part && isSameList(endpoints, best.endpoints),
      );
      const isCompanion = ({ part }: Candidate) =>
        prompts.every(({ parts }) => parts.includes(part));
      const group = [best, ...equals.filter(isCompanion)];
      const request = group.find(({ part }) => isRequestId(part));
      const isRival = (candidate: Candidate) =>
        !isCompanion(candidate) && (best.wasAnswered || !candidate.wasAnswered);
      const groupParts = group.map(({ part }) => part);
      causes.push({
        parts: request ? [request.part] : groupParts,
        rivalParts: groupParts.filter((part) => !isRequestId(part)),
        endpoints: best.endpoints,
        isAmbiguous: equals.some(isRival),
      });
      unexplained = unexplained.filter(
        ({ endpoint }) => !best.endpoints.includes(endpoint),
      );
    }
    return causes;
  }

  /**
   * Suspects with the endpoints that crashed under them, most crashes first.
   * Parts that were answered before count only where there are no other parts.
   */
  #listCandidates(crashes: readonly Crash[]): Candidate[] {
    const prompts = crashes.flatMap((crash) => crash.prompts);
    const all = [...new Set(prompts.flatMap(({ parts }) => parts))].map(
      (part) => ({ part, wasAnswered: this.#wasAnswered(part) }),
    );
    const hasUnanswered = all.some(
      ({ part, wasAnswered }) => !isRequestId(part) && !wasAnswered,
    );
    const candidates = all
      .filter(
        ({ part, wasAnswered }) =>
          isRequestId(part) || !hasUnanswered || !wasAnswered,
      )
      .map(({ part, wasAnswered }) => ({
        part,
        wasAnswered,
        endpoints: crashes
          .filter((crash) =>
            crash.prompts.some(({ parts }) => parts.includes(part)),
          )
          .map(({ endpoint }) => endpoint),
      }));
    return sortCandidates(candidates);
  }
}

interface Candidate {
  readonly part: string;
  readonly endpoints: readonly string[];
  /** An endpoint answered it before its crashes. */
  readonly wasAnswered: boolean;
}

/** Most crashes first, then those never answered, then requests. */
function sortCandidates(candidates: readonly Candidate[]): Candidate[] {
  return [...candidates].sort(
    (one, other) =>
      other.endpoints.length - one.endpoints.length ||
      Number(one.wasAnswered) - Number(other.wasAnswered) ||
      Number(isRequestId(other.part)) - Number(isRequestId(one.part)),
  );
}

/**
 * The prompts that had been sent when the endpoint ended, at the earliest time
 * known. What accepts connections for it later breaks further ones.
 */
function listRunning(
  { prompts, atMs: seenAtMs, isOwn }: Crash,
  atMs: number,
): CrashPrompt[] {
  const toleranceMs = isOwn ? 0 : REPORT_TOLERANCE_MS;
  return prompts
    .map((prompt) => ({ ...prompt, runMs: prompt.runMs - (seenAtMs - atMs) }))
    .filter(({ runMs }) => runMs >= -toleranceMs)
    .map((prompt) => ({ ...prompt, runMs: Math.max(0, prompt.runMs) }));
}

/** Both crashes may have had one cause beyond the requests. */
function isSameIncident(
  first: Crash,
  crash: Crash,
  parts: readonly string[],
): boolean {
  const areBothOwn = first.isOwn && crash.isOwn;
  const isClose = crash.atMs - first.atMs < INCIDENT_MS;
  if (!areBothOwn) return isClose;
  const runsMs = crash.prompts
    .filter((prompt) => hasAll(prompt.parts, parts))
    .map(({ runMs }) => runMs);
  return crash.atMs - Math.min(...runsMs) <= first.atMs;
}

export function hasAll<Item>(
  items: readonly Item[],
  wanted: readonly Item[],
): boolean {
  return wanted.every((item) => items.includes(item));
}

function isSameList(one: readonly string[], other: readonly string[]): boolean {
  return one.length === other.length && hasAll(one, other);
}
