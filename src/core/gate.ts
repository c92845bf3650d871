/**
 * The endpoint's gate: the last check before an engine or a plain service.
 * Events go in, decisions come out; the role carries them out at once.
 */

import { match } from "ts-pattern";
import type {
  DispatchRequest,
  EndpointStatus,
  Frame,
  LookUpAttemptReply,
  LookUpAttemptRequest,
} from "../schema/index.js";
import {
  type Attempt,
  AttemptMemory,
  createAttemptKey,
  DEFAULT_MEMORY_LIMITS,
  type MemoryLimits,
} from "./attempts.js";
import { assertInvariant, createRefusal, type Refusal } from "./errors.js";
import type { FrameBody } from "./frames.js";
import {
  checkAttempt,
  type GatePlace,
  type GateView,
  isIdempotent,
  parseDispatch,
} from "./gate_checks.js";
import { type Completion, Ramp } from "./ramp.js";

export interface GateOptions {
  readonly endpoint: string;
  readonly dataCentre: string;
  readonly kind: "model" | "service";
  /** Plain services behind the endpoint; empty for an engine. */
  readonly services: readonly string[];
  readonly slots: number;
  readonly slotsWhileCold: number;
  readonly maxBodyBytes: number;
  /** Gives a new random epoch. */
  readonly createEpoch: () => string;
  readonly view: GateView;
  readonly memoryLimits?: MemoryLimits;
}

/** What a load report of the engine says. */
export interface EngineReport {
  /** New at each start of the engine. */
  readonly startId: string;
  readonly cold: boolean;
  readonly versions: readonly string[];
  /** Slots that the engine has now, when it says so. */
  readonly slots?: number;
}

/** How one run of the back end ended. */
export type RunOutcome =
  | {
      readonly kind: "completed";
      readonly status: number;
      readonly promptTokens: number;
      readonly outputTokens: number;
      readonly body: Uint8Array;
      readonly contentType: string;
    }
  | {
      readonly kind: "failed";
      readonly refusal: Refusal;
      /** True when the failure may mean that the engine is cold. */
      readonly isEngineFault: boolean;
    };

export type GateEvent =
  | { readonly type: "dispatch"; readonly request: DispatchRequest }
  /** The fetch that a decision asked for has ended, with or without success. */
  | { readonly type: "fetched"; readonly key: string }
  | { readonly type: "finished"; readonly key: string; outcome: RunOutcome }
  | { readonly type: "cancel"; readonly key: string }
  | { readonly type: "report"; readonly report: EngineReport }
  | { readonly type: "leaving"; readonly reason: GatePlace["leaving"] }
  /** A new revision, or 50 ms have passed. */
  | { readonly type: "tick" };

export type GateDecision =
  | { readonly type: "start"; readonly key: string }
  | {
      readonly type: "fetch";
      readonly key: string;
      readonly revision: number;
      readonly remainingMs: number;
    }
  /** A frame for every reader of the attempt. */
  | { readonly type: "frame"; readonly key: string; readonly frame: Frame }
  /** The dispatch itself is refused; the attempt, if any, is not touched. */
  | { readonly type: "reject"; readonly refusal: Refusal }
  | { readonly type: "abort"; readonly key: string };

export class Gate {
  readonly #options: GateOptions;
  readonly #memory: AttemptMemory;
  readonly #ramp: Ramp;
  readonly #running = new Set<string>();
  #epoch: string;
  #leaving: GatePlace["leaving"];
  #served: ReadonlySet<string>;
  #reportedSlots = Number.POSITIVE_INFINITY;

  constructor(options: GateOptions) {
    this.#options = options;
    this.#memory = new AttemptMemory(
      options.memoryLimits ?? DEFAULT_MEMORY_LIMITS,
    );
    this.#ramp = new Ramp(options);
    this.#epoch = options.createEpoch();
    this.#served = new Set(options.services);
  }

  get epoch(): string {
    return this.#epoch;
  }

  get limit(): number {
    return Math.max(1, Math.min(this.#ramp.limit, this.#reportedSlots));
  }

  get inFlight(): number {
    return this.#running.size;
  }

  findAttempt(key: string): Attempt | undefined {
    return this.#memory.find(key);
  }

  handle(event: GateEvent, nowMs: number): GateDecision[] {
    const decisions: GateDecision[] = [];
    match(event)
      .with({ type: "dispatch" }, ({ request }) =>
        this.#dispatch(request, nowMs, decisions),
      )
      .with({ type: "fetched" }, ({ key }) =>
        this.#admit(this.#memory.find(key), nowMs, decisions),
      )
      .with({ type: "finished" }, ({ key, outcome }) =>
        this.#finish(key, outcome, nowMs, decisions),
      )
      .with({ type: "cancel" }, ({ key }) =>
        this.#cancel(key, nowMs, decisions),
      )
      .with({ type: "report" }, ({ report }) => this.#report(report, nowMs))
      .with({ type: "leaving" }, ({ reason }) => {
        this.#leaving = reason;
      })
      .with({ type: "tick" }, () => this.#memory.prune(nowMs))
      .exhaustive();
    return decisions;
  }

  /** Adds a chunk of a running attempt. */
  appendChunk(key: string, data: Uint8Array): Frame | undefined {
    const attempt = this.#memory.find(key);
    if (attempt?.state !== "running") return undefined;
    return attempt.frames.append({ chunk: { data } });
  }

  /** Revokes an attempt that has not started; reports one that has. */
  lookUp(
    request: LookUpAttemptRequest,
    nowMs: number,
  ): { reply: LookUpAttemptReply; decisions: GateDecision[] } {
    const key = createAttemptKey(request.requestId, request.attempt);
    const decisions: GateDecision[] = [];
    const attempt = this.#memory.find(key);
    const createReply = (state: string) => ({
      reply: { state, lastFrame: attempt?.frames.lastFrame },
      decisions,
    });
    if (attempt === undefined) {
      const spent = this.#memory.findSpent(key);
      if (spent === "started") return createReply("other-epoch");
      if (request.epoch !== this.#epoch) return createReply("other-epoch");
      this.#memory.markNeverStarts(key);
      return createReply("revoked");
    }
    if (attempt.state === "running") return createReply("running");
    if (attempt.state === "ended") {
      const hasStarted = attempt.startedAtMs !== undefined;
      return createReply(hasStarted ? "ended" : "revoked");
    }
    const detail = `Attempt "${key}" was revoked before it started`;
    const refusal = createRefusal("attempt-revoked", detail);
    this.#refuse(attempt, refusal, nowMs, decisions);
    return createReply("revoked");
  }

  describeStatus(): EndpointStatus {
    const { endpoint, dataCentre, kind, services, slots } = this.#options;
    return {
      endpoint,
      epoch: this.#epoch,
      dataCentre,
      kind,
      versions: kind === "model" ? [...this.#served] : [],
      services: [...services],
      limit: this.limit,
      inFlight: this.inFlight,
      queued: 0,
      meanServiceMs: 0,
      revision: this.#options.view.state.revision,
      leaving: this.#leaving !== undefined,
      cold: this.#ramp.isCold,
      slots,
    };
  }

  get #place(): GatePlace {
    return {
      endpoint: this.#options.endpoint,
      dataCentre: this.#options.dataCentre,
      epoch: this.#epoch,
      leaving: this.#leaving,
      served: this.#served,
    };
  }

  #dispatch(
    request: DispatchRequest,
    nowMs: number,
    decisions: GateDecision[],
  ): void {
    const parsed = parseDispatch(request, this.#options.maxBodyBytes);
    if ("kind" in parsed) {
      decisions.push({ type: "reject", refusal: parsed });
      return;
    }
    const key = createAttemptKey(parsed.requestId, parsed.attempt);
    const refusal = this.#checkRepeat(key);
    if (refusal !== undefined) {
      decisions.push({ type: "reject", refusal });
      return;
    }
    const attempt = this.#memory.add(parsed, nowMs + parsed.remainingMs);
    const { revision, remainingMs } = parsed;
    if (revision > this.#options.view.state.revision) {
      decisions.push({ type: "fetch", key, revision, remainingMs });
      return;
    }
    this.#admit(attempt, nowMs, decisions);
  }

  #checkRepeat(key: string): Refusal | undefined {
    const attempt = this.#memory.find(key);
    const hasStarted =
      attempt === undefined
        ? this.#memory.findSpent(key) === "started"
        : attempt.startedAtMs !== undefined;
    if (hasStarted || (attempt !== undefined && attempt.state !== "ended")) {
      return createRefusal("in-progress", `Attempt "${key}" was seen before`);
    }
    if (attempt === undefined && this.#memory.findSpent(key) === undefined) {
      return undefined;
    }
    return createRefusal("attempt-revoked", `Attempt "${key}" was given up`);
  }

  #admit(
    attempt: Attempt | undefined,
    nowMs: number,
    decisions: GateDecision[],
  ): void {
    if (attempt?.state !== "fetching") return;
    const refusal = this.#check(attempt, nowMs);
    if (refusal !== undefined) {
      this.#refuse(attempt, refusal, nowMs, decisions);
      return;
    }
    if (this.#running.size >= this.limit) {
      const detail = `All ${this.limit} slots are in use`;
      const full = createRefusal("capacity", detail);
      this.#refuse(attempt, full, nowMs, decisions);
      return;
    }
    this.#start(attempt, nowMs, decisions);
  }

  #check(attempt: Attempt, nowMs: number): Refusal | undefined {
    const { state } = this.#options.view;
    attempt.idempotent = isIdempotent(attempt.request, state);
    if (attempt.request.revision > state.revision) {
      return createRefusal(
        "stale-revision",
        `Revision ${attempt.request.revision} can't be fetched, known is ${state.revision}`,
      );
    }
    if (nowMs >= attempt.deadlineAtMs) {
      return createRefusal(
        "deadline-exceeded",
        `Attempt "${attempt.key}" has no time left`,
      );
    }
    return checkAttempt(attempt, this.#place, this.#options.view);
  }

  #start(attempt: Attempt, nowMs: number, decisions: GateDecision[]): void {
    if (!attempt.idempotent && this.#memory.isSpentFull) this.#renewEpoch();
    const refusal = this.#check(attempt, nowMs);
    if (refusal !== undefined) {
      this.#refuse(attempt, refusal, nowMs, decisions);
      return;
    }
    if (this.#running.size === 0) this.#ramp.noteIdleStart(nowMs);
    this.#memory.markStarted(attempt, nowMs);
    this.#running.add(attempt.key);
    assertInvariant(
      this.#running.size <= this.limit,
      "coldOverload",
      `${this.#running.size} attempts run at a limit of ${this.limit}`,
    );
    decisions.push({ type: "start", key: attempt.key });
  }

  /** The record of non-idempotent work is full: makes its attempts unusable. */
  #renewEpoch(): void {
    this.#epoch = this.#options.createEpoch();
    this.#memory.rotateSpent();
  }

  #finish(
    key: string,
    outcome: RunOutcome,
    nowMs: number,
    decisions: GateDecision[],
  ): void {
    const attempt = this.#memory.find(key);
    if (attempt?.state !== "running") return;
    this.#running.delete(key);
    const startedAtMs = attempt.startedAtMs ?? nowMs;
    if (outcome.kind === "failed") {
      if (outcome.isEngineFault) this.#ramp.applyFailure(startedAtMs, nowMs);
      this.#end(attempt, this.#toFrame(outcome.refusal), nowMs, decisions);
      return;
    }
    this.#ramp.applyCompletion(
      this.#measure(attempt, outcome.outputTokens, nowMs),
      nowMs,
    );
    const { kind: _kind, ...end } = outcome;
    const chunks = attempt.frames.nextSequence;
    this.#end(attempt, { end: { ...end, chunks } }, nowMs, decisions);
  }

  #measure(attempt: Attempt, outputTokens: number, nowMs: number): Completion {
    const { request, startedAtMs = nowMs } = attempt;
    const isModel = this.#options.kind === "model";
    return {
      name: isModel ? request.version : request.service,
      startedAtMs,
      serviceMs: nowMs - startedAtMs,
      units: isModel ? outputTokens / 1_000 : 1,
    };
  }

  #cancel(key: string, nowMs: number, decisions: GateDecision[]): void {
    const attempt = this.#memory.find(key);
    if (attempt === undefined || attempt.state === "ended") return;
    if (attempt.state !== "running") {
      const detail = `Attempt "${key}" was cancelled before it started`;
      const refusal = createRefusal("attempt-revoked", detail);
      this.#refuse(attempt, refusal, nowMs, decisions);
      return;
    }
    // A non-idempotent call that has started goes on, so its outcome is known.
    if (attempt.idempotent) decisions.push({ type: "abort", key });
  }

  #report(report: EngineReport, nowMs: number): void {
    this.#served = new Set([...this.#options.services, ...report.versions]);
    this.#reportedSlots = report.slots ?? Number.POSITIVE_INFINITY;
    this.#ramp.applyReport(report, nowMs);
  }

  #refuse(
    attempt: Attempt,
    refusal: Refusal,
    nowMs: number,
    decisions: GateDecision[],
  ): void {
    assertInvariant(
      refusal.ran !== "no" || attempt.startedAtMs === undefined,
      "falseNotRun",
      `attempt "${attempt.key}" has started`,
    );
    this.#end(attempt, this.#toFrame(refusal), nowMs, decisions);
  }

  #toFrame(refusal: Refusal): FrameBody {
    const { code, ran, detail, retryAfterMs } = refusal;
    const { revision } = this.#options.view.state;
    return { refusal: { code, ran, detail, retryAfterMs, revision } };
  }

  #end(
    attempt: Attempt,
    body: FrameBody,
    nowMs: number,
    decisions: GateDecision[],
  ): void {
    const frame = attempt.frames.append(body);
    this.#memory.markEnded(attempt, nowMs);
    decisions.push({ type: "frame", key: attempt.key, frame });
  }
}
