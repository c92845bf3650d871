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

/** Crashes from which a part counts as their cause. */
const MIN_CRASHES = 3;
/** The same for a part with which endpoints had answered before. */
const MIN_CRASHES_AFTER_ANSWERS = 6;
/** Crashes from which a request with the part is not retried. */
const MIN_CRASHES_OF_SUSPECT = 2;
/** Time for which a crash is evidence, ms. */
const CRASH_LIFETIME_MS = 600_000;
const MAX_CRASHES = 32;
/** Prompts that are remembered for one crash. */
const MAX_PROMPTS_PER_CRASH = 4;
/** Parts of one prompt that are considered. */
const MAX_PARTS = 8;
/** Callers choose the ids; longer ones are replaced by a hash. */
const MAX_ID_LENGTH = 32;
/** Parts with which endpoints answered that are remembered. */
const MAX_ANSWERED_PARTS = 5_000;

export interface Crash {
  readonly endpoint: string;
  readonly atMs: number;
  /** Ids of the suspected parts of each prompt. */
  readonly prompts: readonly (readonly string[])[];
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
    .slice(0, MAX_PARTS)
    .map(({ id }) =>
      id.length <= MAX_ID_LENGTH ? id : hashSha256(id).slice(0, MAX_ID_LENGTH),
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
  recordCrash({ endpoint, atMs, prompts }: Crash, nowMs: number): boolean {
    const suspects = prompts
      .slice(0, MAX_PROMPTS_PER_CRASH)
      .map((parts) => this.#listSuspects(parts, atMs))
      .filter((parts) => parts.length > 0);
    if (suspects.length === 0) return false;
    const known = this.#crashes.find((crash) => crash.endpoint === endpoint);
    const knownPrompts = known?.prompts ?? [];
    const added = suspects.filter(
      (parts) => !knownPrompts.some((other) => isSameList(parts, other)),
    );
    if (added.length === 0) return false;
    const merged: Crash = {
      endpoint,
      atMs: known?.atMs ?? atMs,
      prompts: [...knownPrompts, ...added].slice(0, MAX_PROMPTS_PER_CRASH),
    };
    const others = this.#crashes.filter(
      (crash) => crash !== known && nowMs - crash.atMs < CRASH_LIFETIME_MS,
    );
    this.#crashes = [...others, merged].slice(-MAX_CRASHES);
    return true;
  }

  /** Forgets the crashes that the parts explain. */
  removeCrashes({ parts }: Pick<CrashCause, "parts">): void {
    this.#crashes = this.#crashes.filter(
      ({ prompts }) => !prompts.some((prompt) => hasAll(prompt, parts)),
    );
  }

  /** Crashes with prompts that are still suspected. */
  listCrashes(nowMs: number): Crash[] {
    return this.#crashes
      .filter(({ atMs }) => nowMs - atMs < CRASH_LIFETIME_MS)
      .map((crash) => ({
        ...crash,
        prompts: crash.prompts
          .map((parts) => this.#listSuspects(parts, crash.atMs))
          .filter((parts) => parts.length > 0),
      }))
      .filter(({ prompts }) => prompts.length > 0);
  }

  /** The causes that have enough crashes to be sure. */
  listCauses(nowMs: number): CrashCause[] {
    return this.#explainCrashes(nowMs).filter((cause) => {
      const { parts, endpoints, isAmbiguous } = cause;
      if (isAmbiguous) return false;
      const wasAnswered = parts.every((part) => this.#answeredAtMs.has(part));
      const minCrashes = wasAnswered ? MIN_CRASHES_AFTER_ANSWERS : MIN_CRASHES;
      return endpoints.length >= minCrashes;
    });
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

  #listSuspects(parts: readonly string[], atMs: number): readonly string[] {
    return parts.filter(
      (part) =>
        (this.#answeredAtMs.peek(part) ?? Number.NEGATIVE_INFINITY) < atMs,
    );
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
        .filter((parts) => parts.includes(best.part));
      const companions = rivals.filter(({ part }) =>
        prompts.every((parts) => parts.includes(part)),
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
    const all = [...new Set(crashes.flatMap(({ prompts }) => prompts.flat()))];
    const unanswered = all.filter((part) => !this.#answeredAtMs.has(part));
    return (unanswered.length > 0 ? unanswered : all)
      .map((part) => ({
        part,
        endpoints: crashes
          .filter(({ prompts }) => prompts.some((ids) => ids.includes(part)))
          .map(({ endpoint }) => endpoint),
      }))
      .sort((one, other) => other.endpoints.length - one.endpoints.length);
  }
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
