/**
 * Prompt parts and requests under which endpoints crash. Entries tell each
 * other of the crashes that they saw and of what they found to cause them, and
 * refuse that request, or all requests with these parts.
 */

import type { Logger } from "../../adapters/logger.js";
import { sortByRendezvous } from "../../core/canonical.js";
import type { EndpointCrash, PromptHold } from "../../schema/exchange/index.js";
import {
  CrashEvidence,
  hasAll,
  listSuspectIds,
  type Suspect,
} from "../placing/index.js";
import type { SuspendClock } from "../suspend_clock.js";
import type { RequestFacts } from "../types.js";
import { MAX_TRANSIT_MS, toMessageNumber } from "./peer_messages.js";

/** Time for which parts are held, ms; doubles with each trial that fails. */
const HOLD_MS = 600_000;
const MAX_HOLD_MS = 86_400_000;
/** Time between the trials of two entries, as a share of the hold. */
const TRIAL_SPREAD = 0.1;
/** Time after which a trial without a result is given up, ms. */
const TRIAL_TIMEOUT_MS = 60_000;
/** Time for which other entries are told that parts were released, ms. */
const REPORT_RELEASE_FOR_MS = 60_000;
const MAX_HOLDS = 100;
/** Crashes and holds that one message reports, the newest ones. */
const MAX_REPORTED_CRASHES = 16;
const MAX_REPORTED_HOLDS = 32;

/** Parts, or the id of a request, that are held or were released lately. */
export interface HeldParts {
  readonly parts: readonly string[];
  readonly isHeld: boolean;
  readonly crashes: number;
  /** How often a trial after a hold led to a crash. */
  readonly failedTrials: number;
  /** When they were held or released, on the suspend clock. */
  readonly changedAtMs: number;
}

export interface PromptHoldsOptions {
  readonly selfName: string;
  /** Names of the entries, this one included, if they are known. */
  readonly listSharers: () => readonly string[] | undefined;
  /** Called when this entry holds parts by its own finding. */
  readonly onHold: (held: HeldParts) => void;
  /** Called when this entry, not another one, releases parts. */
  readonly onRelease: (held: HeldParts) => void;
  readonly clock: SuspendClock;
  readonly log: Logger;
}

interface Trial {
  readonly requestId: string;
  readonly startedAtMs: number;
}

export const HOLD_SOURCE = {
  crashes: "crashes",
  peer: "peer",
  store: "store",
} as const;
export type HoldSource = (typeof HOLD_SOURCE)[keyof typeof HOLD_SOURCE];

export class PromptHolds {
  readonly #options: PromptHoldsOptions;
  readonly #evidence = new CrashEvidence();
  readonly #holds = new Map<string, HeldParts>();
  readonly #trials = new Map<string, Trial>();

  constructor(options: PromptHoldsOptions) {
    this.#options = options;
  }

  /** The held parts for which a request must be refused, if any. */
  find(facts: RequestFacts): HeldParts | undefined {
    if (this.#holds.size === 0) return undefined;
    const { id } = facts;
    const ids = listSuspectIds(facts);
    return this.listHeld().find(
      (held) =>
        hasAll(ids, held.parts) &&
        this.#trials.get(toKey(held.parts))?.requestId !== id,
    );
  }

  /** As `find`, but after a hold a new request may go on as a trial. */
  admit(facts: RequestFacts): HeldParts | undefined {
    const held = this.find(facts);
    if (held === undefined || !this.#mayTry(held)) return held;
    const trial = { requestId: facts.id, startedAtMs: this.#now() };
    this.#trials.set(toKey(held.parts), trial);
    const fields = { ...describeParts(held), request: facts.id };
    this.#options.log.info("prompt-part-trial", fields);
    return this.find(facts);
  }

  /** True when the request has led to crashes and must not be retried. */
  isSuspect(suspect: Suspect): boolean {
    return this.#evidence.isSuspect(listSuspectIds(suspect), this.#now());
  }

  /** An endpoint has begun an answer to the request and goes on with it. */
  recordAnswer(suspect: Suspect): void {
    const ids = listSuspectIds(suspect);
    if (ids.length === 0) return;
    this.#evidence.recordAnswer(ids, this.#now());
    for (const held of this.listHeld()) {
      const rest = held.parts.filter((part) => !ids.includes(part));
      if (rest.length === held.parts.length) continue;
      // Parts that are answered are not to blame, but the others may be.
      if (rest.length === 0) this.#release(held, "answered");
      else this.#narrow(held, rest);
    }
  }

  /**
   * An endpoint ended as it ran a request or began an answer. Returns whether
   * what is held, not the endpoint, is the cause.
   */
  recordCrash(endpoint: string, suspect: Suspect, runMs: number): boolean {
    const ids = listSuspectIds(suspect);
    if (ids.length === 0) return false;
    const atMs = this.#now();
    const prompts = [{ parts: ids, runMs }];
    const crash = { endpoint, atMs, isOwn: true, prompts };
    const isNew = this.#evidence.recordCrash(crash, atMs);
    const held = this.listHeld().find(isPartOf(ids));
    if (held !== undefined) {
      this.#evidence.removeSuspects(held);
      this.#failTrial(held);
      return true;
    }
    if (!isNew) return false;
    this.#options.log.info("endpoint-crash-seen", {
      endpoint,
      parts: ids.join(","),
    });
    this.#holdCauses();
    return this.listHeld().some(isPartOf(ids));
  }

  #holdCauses(): void {
    const nowMs = this.#now();
    for (const { parts, endpoints } of this.#evidence.listCauses(nowMs)) {
      const held: HeldParts = {
        parts,
        isHeld: true,
        crashes: endpoints.length,
        failedTrials: 0,
        changedAtMs: nowMs,
      };
      this.#put(held, HOLD_SOURCE.crashes, endpoints);
      this.#evidence.removeSuspects({ parts });
      this.#options.onHold(held);
    }
  }

  #put(
    held: HeldParts,
    source: HoldSource,
    endpoints: readonly string[] = [],
  ): void {
    this.#holds.set(toKey(held.parts), held);
    const [oldest] = this.#holds.keys();
    if (this.#holds.size > MAX_HOLDS && oldest !== undefined) {
      this.#holds.delete(oldest);
    }
    this.#options.log.warn("prompt-part-held", {
      ...describeParts(held),
      source,
      endpoints: endpoints.join(",") || undefined,
      holdMs: computeHoldMs(held),
    });
  }

  #narrow(held: HeldParts, parts: readonly string[]): void {
    this.#holds.delete(toKey(held.parts));
    const narrowed = { ...held, parts };
    this.#put(narrowed, HOLD_SOURCE.crashes);
    this.#options.onHold(narrowed);
  }

  #release(held: HeldParts, reason: string): void {
    const released = { ...held, isHeld: false, changedAtMs: this.#now() };
    this.#holds.set(toKey(held.parts), released);
    this.#trials.delete(toKey(held.parts));
    const fields = { ...describeParts(held), reason };
    this.#options.log.warn("prompt-part-released", fields);
    if (reason !== HOLD_SOURCE.peer) this.#options.onRelease(held);
  }

  /** Releases all holds that the part is in; returns how many these were. */
  releasePart(part: string): number {
    const found = this.listHeld().filter(({ parts }) => parts.includes(part));
    for (const held of found) this.#release(held, "operator");
    return found.length;
  }

  #failTrial(held: HeldParts): void {
    const key = toKey(held.parts);
    const isTrial = this.#trials.delete(key);
    const crashes = held.crashes + 1;
    // Requests that were sent before the hold end endpoints as well.
    if (!isTrial) {
      this.#holds.set(key, { ...held, crashes });
      return;
    }
    const failedTrials = held.failedTrials + 1;
    const renewed = {
      ...held,
      crashes,
      failedTrials,
      changedAtMs: this.#now(),
    };
    this.#put(renewed, HOLD_SOURCE.crashes);
    this.#options.onHold(renewed);
  }

  #mayTry(held: HeldParts): boolean {
    const key = toKey(held.parts);
    const nowMs = this.#now();
    const trial = this.#trials.get(key);
    if (trial && nowMs - trial.startedAtMs < TRIAL_TIMEOUT_MS) return false;
    const { selfName, listSharers } = this.#options;
    const names = listSharers();
    if (names === undefined) return false;
    const rank = sortByRendezvous(key, names).indexOf(selfName);
    const delayMs = computeHoldMs(held) * (1 + TRIAL_SPREAD * rank);
    return nowMs - held.changedAtMs >= delayMs;
  }

  /** Time until a prompt with the parts may be tried again, ms. */
  getRemainingMs(held: HeldParts): number {
    const untilMs = held.changedAtMs + computeHoldMs(held);
    return Math.max(0, untilMs - this.#now());
  }

  listHeld(): HeldParts[] {
    return [...this.#holds.values()].filter(({ isHeld }) => isHeld);
  }

  /** What other entries should know of crashes. */
  listCrashReports(): EndpointCrash[] {
    const nowMs = this.#now();
    return this.#evidence
      .listCrashes(nowMs)
      .slice(-MAX_REPORTED_CRASHES)
      .map(({ endpoint, atMs, prompts }) => ({
        endpoint,
        ageMs: toMessageNumber(nowMs - atMs),
        prompts: prompts.map(({ parts, runMs }) => ({
          ids: [...parts],
          runMs: toMessageNumber(runMs),
        })),
      }));
  }

  listHoldReports(): PromptHold[] {
    const nowMs = this.#now();
    return [...this.#holds.values()]
      .filter(
        ({ isHeld, changedAtMs }) =>
          isHeld || nowMs - changedAtMs < REPORT_RELEASE_FOR_MS,
      )
      .slice(-MAX_REPORTED_HOLDS)
      .map(({ parts, isHeld, crashes, failedTrials, changedAtMs }) => ({
        parts: [...parts],
        isHeld,
        crashes: toMessageNumber(crashes),
        failedTrials: toMessageNumber(failedTrials),
        ageMs: toMessageNumber(nowMs - changedAtMs),
      }));
  }

  mergeCrashes(reports: readonly EndpointCrash[]): void {
    const nowMs = this.#now();
    let isNew = false;
    for (const { endpoint, ageMs, prompts } of reports) {
      const crash = {
        endpoint,
        atMs: nowMs - ageMs,
        isOwn: false,
        prompts: prompts.map(({ ids, runMs }) => ({ parts: ids, runMs })),
      };
      if (this.#evidence.recordCrash(crash, nowMs)) isNew = true;
    }
    if (!isNew) return;
    // What ran beside a cause that is held is not to blame.
    for (const held of this.listHeld()) this.#evidence.removeSuspects(held);
    this.#holdCauses();
  }

  mergeHolds(
    reports: readonly PromptHold[],
    source: HoldSource = HOLD_SOURCE.peer,
  ): void {
    const nowMs = this.#now();
    for (const report of reports) {
      const { parts, isHeld, crashes, failedTrials, ageMs } = report;
      if (parts.length === 0) continue;
      const known = this.#holds.get(toKey(parts));
      const changedAtMs = nowMs - ageMs - MAX_TRANSIT_MS;
      const isOlder = known !== undefined && known.changedAtMs >= changedAtMs;
      if (isOlder) continue;
      const held = { parts, isHeld, crashes, failedTrials, changedAtMs };
      if (known?.isHeld === isHeld) {
        if (failedTrials > known.failedTrials)
          this.#holds.set(toKey(parts), held);
        continue;
      }
      const isCovered = this.listHeld().some(isPartOf(parts));
      if (isHeld && !isCovered) {
        this.#put(held, source);
        this.#evidence.removeSuspects({ parts });
      } else if (!isHeld && known !== undefined) {
        this.#release(known, source);
      }
    }
  }

  #now(): number {
    return this.#options.clock.now();
  }
}

function isPartOf(ids: readonly string[]): (held: HeldParts) => boolean {
  return ({ parts }) => hasAll(ids, parts);
}

function computeHoldMs({ failedTrials }: HeldParts): number {
  return Math.min(MAX_HOLD_MS, HOLD_MS * 2 ** failedTrials);
}

function toKey(parts: readonly string[]): string {
  return [...parts].sort().join(" ");
}

function describeParts({ parts, crashes, failedTrials }: HeldParts) {
  return { parts: parts.join(","), crashes, failedTrials };
}
