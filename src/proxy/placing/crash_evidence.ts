/**
 * Finds the parts of prompts under which endpoints crash. The crash of an
 * endpoint ends all requests that run there. Those of which it had just begun
 * an answer are suspects, and so is each part that their prompts share with
 * others, unless an endpoint answered a prompt with that part later on.
 *
 * The part that the most crashes have in common explains them, and the other
 * suspects of these crashes are cleared.
 */

import { LRUCache } from "lru-cache";
import { hashSha256 } from "../../core/canonical.js";
import type { PromptPart } from "../types.js";

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
/** Crashes from which a request with the part is not retried. */
const MIN_CRASHES_OF_SUSPECT = 2;
/** Time for which a crash is evidence, ms. */
const CRASH_LIFETIME_MS = 600_000;
const MAX_CRASHES = 128;
/** Of them, crashes whose prompts are remembered, the newest ones. */
const MAX_CRASHES_WITH_PROMPTS = 32;
/** Prompts that are remembered for one crash. */
const MAX_PROMPTS_PER_CRASH = 4;
/** Parts of one prompt that are considered. */
export const MAX_PROMPT_PARTS = 8;
/** Callers choose the ids; longer ones are replaced by a hash. */
export const MAX_PART_ID_LENGTH = 32;
/** Parts with which endpoints answered that are remembered. */
const MAX_ANSWERED_PARTS = 5_000;

export interface CrashPrompt {
  /** Ids of the suspected parts. */
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
}

/** Parts that a prompt must all have for an endpoint to crash. */
export interface CrashCause {
  readonly parts: readonly string[];
  readonly endpoints: readonly string[];
  /** Other parts explain as many of these crashes. */
  readonly isAmbiguous: boolean;
}

/** Ids of the parts that a prompt may share; the last part is its own. */
export function listSharedPartIds(parts: readonly PromptPart[]): string[] {
  return parts
    .slice(0, -1)
    .slice(0, MAX_PROMPT_PARTS)
    .map(({ id }) =>
      id.length <= MAX_PART_ID_LENGTH
        ? id
        : hashSha256(id).slice(0, MAX_PART_ID_LENGTH),
    );
}

export class CrashEvidence {
  #crashes: Crash[] = [];
  /** When an endpoint last answered a prompt with the part. */
  readonly #answeredAtMs = new LRUCache<string, number>({
    max: MAX_ANSWERED_PARTS,
  });

  /** An endpoint has begun an answer and goes on with it. */
  recordAnswer(parts: readonly string[], nowMs: number): void {
    for (const part of parts) this.#answeredAtMs.set(part, nowMs);
  }

  /** Returns whether the crash was not known with these prompts. */
  recordCrash(crash: Crash, nowMs: number): boolean {
    const { endpoint } = crash;
    const known = this.#crashes.find((other) => other.endpoint === endpoint);
    const knownPrompts = known?.prompts ?? [];
    const added = this.#listSuspects(crash).filter(
      ({ parts }) =>
        !knownPrompts.some((other) => isSameList(parts, other.parts)),
    );
    if (known !== undefined && added.length === 0) return false;
    const merged: Crash = {
      ...(known ?? crash),
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

  /** Forgets the crashes that the parts explain. */
  removeCrashes({ parts }: Pick<CrashCause, "parts">): void {
    this.#crashes = this.#crashes.filter(
      ({ prompts }) => !prompts.some((prompt) => hasAll(prompt.parts, parts)),
    );
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
      if (isAmbiguous) return false;
      const wasAnswered = parts.every((part) => this.#answeredAtMs.has(part));
      const minIncidents = wasAnswered
        ? MIN_INCIDENTS_AFTER_ANSWERS
        : MIN_INCIDENTS;
      return this.#countIncidents(cause) >= minIncidents;
    });
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
        ({ endpoint }) => !endpoints.includes(endpoint),
      );
      const share = crashes / (crashes + others.length);
      if (share >= MIN_EXPLAINED_SHARE) count++;
      i += crashes;
    }
    return count;
  }

  /** True when a prompt with these parts may well lead to a further crash. */
  isSuspect(parts: readonly string[], nowMs: number): boolean {
    return this.#explainCrashes(nowMs).some(
      (cause) =>
        cause.endpoints.length >= MIN_CRASHES_OF_SUSPECT &&
        hasAll(parts, cause.parts) &&
        cause.parts.some((part) => !this.#answeredAtMs.has(part)),
    );
  }

  /** Prompts without the parts that were answered after the crash. */
  #listSuspects({ prompts, atMs }: Crash): CrashPrompt[] {
    const isSuspected = (part: string) =>
      (this.#answeredAtMs.peek(part) ?? Number.NEGATIVE_INFINITY) < atMs;
    return prompts
      .slice(0, MAX_PROMPTS_PER_CRASH)
      .map((prompt) => ({ ...prompt, parts: prompt.parts.filter(isSuspected) }))
      .filter(({ parts }) => parts.length > 0);
  }

  /** Greedy set cover: the part with the most unexplained crashes is next. */
  #explainCrashes(nowMs: number): CrashCause[] {
    const causes: CrashCause[] = [];
    let unexplained = this.listCrashes(nowMs);
    while (unexplained.length > 0) {
      const candidates = this.#listCandidates(unexplained);
      const [best] = candidates;
      if (best === undefined) break;
      // Other parts that explain the same crashes.
      const rivals = candidates.filter(
        ({ part, endpoints }) =>
          part !== best.part && isSameList(endpoints, best.endpoints),
      );
      const prompts = unexplained
        .flatMap((crash) => crash.prompts)
        .filter(({ parts }) => parts.includes(best.part));
      const companions = rivals.filter(({ part }) =>
        prompts.every(({ parts }) => parts.includes(part)),
      );
      causes.push({
        parts: [best, ...companions].map(({ part }) => part),
        endpoints: best.endpoints,
        isAmbiguous: rivals.length > companions.length,
      });
      unexplained = unexplained.filter(
        ({ endpoint }) => !best.endpoints.includes(endpoint),
      );
    }
    return causes;
  }

  /**
   * Parts with the endpoints that crashed under them, most crashes first. Parts
   * that were answered before count only where there are no others.
   */
  #listCandidates(crashes: readonly Crash[]) {
    const prompts = crashes.flatMap((crash) => crash.prompts);
    const all = [...new Set(prompts.flatMap(({ parts }) => parts))];
    const unanswered = all.filter((part) => !this.#answeredAtMs.has(part));
    return (unanswered.length > 0 ? unanswered : all)
      .map((part) => ({
        part,
        endpoints: crashes
          .filter((crash) =>
            crash.prompts.some(({ parts }) => parts.includes(part)),
          )
          .map(({ endpoint }) => endpoint),
      }))
      .sort((one, other) => other.endpoints.length - one.endpoints.length);
  }
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
