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
import { type Attempt, AttemptMemory, createAttemptKey } from "./attempts.js";
import { assertInvariant, createRefusal, type Refusal } from "./errors.js";
import { createRefusalBody, type FrameBody } from "./frames.js";
import { GateCapacity } from "./gate_capacity.js";
import {
  assertMayStart,
  type GatePlace,
  parseDispatch,
} from "./gate_checks.js";
import type {
  EngineReport,
  GateDecision,
  GateEvent,
  GateOptions,
  RunOutcome,
} from "./gate_events.js";
import { WaitingRoom } from "./gate_waiting.js";
import { ReceiptClock } from "./receipt_clock.js";

/** Running work is ended this long after its deadline: no one waits for it. */
const OVERRUN_MS = 1_000;

export class Gate {
  readonly #options: GateOptions;
  readonly #memory: AttemptMemory;
  readonly #capacity: GateCapacity;
  readonly #waiting: WaitingRoom;
  readonly #clock = new ReceiptClock();
  #place: GatePlace;
  #decisions: GateDecision[] = [];

  constructor(options: GateOptions) {
    this.#options = options;
    this.#memory = new AttemptMemory(options.memoryLimits);
    this.#capacity = new GateCapacity(options);
    this.#waiting = new WaitingRoom({
      slots: options.slots,
      view: options.view,
      capacity: this.#capacity,
      getPlace: () => this.#place,
    });
    this.#place = {
      endpoint: options.endpoint,
      dataCentre: options.dataCentre,
      epoch: options.createEpoch(),
      leaving: undefined,
      served: new Set(options.services),
    };
  }

  get inFlight(): number {
    return this.#capacity.inFlight;
  }

  findAttempt(key: string): Attempt | undefined {
    return this.#memory.find(key);
  }

  handle(event: GateEvent, nowMs: number): GateDecision[] {
    this.#clock.note(nowMs);
    match(event)
      .with({ type: "dispatch" }, ({ request }) =>
        this.#dispatch(request, nowMs),
      )
      .with({ type: "fetched" }, ({ key }) => this.#admitFetched(key, nowMs))
      .with({ type: "finished" }, ({ key, outcome }) =>
        this.#finish(key, outcome, nowMs),
      )
      .with({ type: "cancel" }, ({ key }) => this.#cancel(key, nowMs))
      .with({ type: "report" }, ({ report }) => this.#report(report, nowMs))
      .with({ type: "leaving" }, ({ reason }) => {
        this.#place = { ...this.#place, leaving: reason };
      })
      .with({ type: "tick" }, () => this.#tick(nowMs))
      .exhaustive();
    // The next tick refuses what a finished call has made too late.
    const isSwept = event.type !== "finished";
    const refused = isSwept ? this.#waiting.findRefused(nowMs) : [];
    for (const { attempt, refusal } of refused) {
      this.#refuse(attempt, refusal, nowMs);
    }
    this.#startQueued(nowMs);
    return this.#takeDecisions();
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
    const attempt = this.#memory.find(key);
    if (attempt !== undefined && attempt.startedAtMs === undefined) {
      this.#revoke(attempt, nowMs);
    }
    if (this.#memory.isSpentFull) this.#renewEpoch();
    const state = this.#memory.lookUp(key, request.epoch === this.#place.epoch);
    const lastFrame = attempt?.frames.lastFrame;
    return { reply: { state, lastFrame }, decisions: this.#takeDecisions() };
  }

  describeStatus(): EndpointStatus {
    const { kind, services, slots } = this.#options;
    const { endpoint, dataCentre, epoch, leaving, served } = this.#place;
    const { limit, inFlight, meanUnitMs, isCold } = this.#capacity;
    return {
      endpoint,
      epoch,
      dataCentre,
      kind,
      versions: kind === "model" ? [...served] : [],
      services: [...services],
      limit,
      inFlight,
      queued: this.#waiting.queued,
      meanServiceMs: meanUnitMs,
      revision: this.#options.view.state.revision,
      leaving: leaving !== undefined,
      cold: isCold,
      slots,
    };
  }

  #takeDecisions(): GateDecision[] {
    const decisions = this.#decisions;
    this.#decisions = [];
    return decisions;
  }

  #dispatch(request: DispatchRequest, nowMs: number): void {
    const parsed = parseDispatch(request, this.#options.maxBodyBytes);
    if ("kind" in parsed) {
      this.#decisions.push({ type: "reject", refusal: parsed });
      return;
    }
    if (this.#memory.isSpentFull) this.#renewEpoch();
    const { requestId, remainingMs, revision } = parsed;
    const key = createAttemptKey(requestId, parsed.attempt);
    const repeat = this.#memory.checkRepeat(key);
    if (repeat !== undefined) {
      this.#decisions.push({ type: "reject", refusal: repeat });
      return;
    }
    const receivedAtMs = this.#clock.getReceiptMs(nowMs);
    const attempt = this.#memory.add(parsed, receivedAtMs + remainingMs);
    if (revision <= this.#options.view.state.revision) {
      this.#admit(attempt, nowMs);
      return;
    }
    const full = this.#waiting.addFetching(attempt, nowMs);
    if (full !== undefined) this.#refuse(attempt, full, nowMs);
    else this.#decisions.push({ type: "fetch", key, revision, remainingMs });
  }

  #admitFetched(key: string, nowMs: number): void {
    const attempt = this.#memory.find(key);
    if (attempt === undefined || !this.#waiting.endFetching(attempt)) return;
    const { revision } = this.#options.view.state;
    if (attempt.request.revision <= revision) {
      this.#admit(attempt, nowMs);
      return;
    }
    const detail = `Revision ${attempt.request.revision} can't be fetched, known is ${revision}`;
    this.#refuse(attempt, createRefusal("stale-revision", detail), nowMs);
  }

  /** Every admitted attempt goes through the queue, which may be empty. */
  #admit(attempt: Attempt, nowMs: number): void {
    const refusal = this.#waiting.check(attempt, nowMs);
    const loser =
      refusal === undefined
        ? this.#waiting.push(attempt, nowMs)
        : { attempt, refusal };
    if (loser !== undefined) this.#refuse(loser.attempt, loser.refusal, nowMs);
  }

  #startQueued(nowMs: number): void {
    while (this.#capacity.hasRoom(nowMs)) {
      const attempt = this.#waiting.takeNext();
      if (attempt === undefined) return;
      this.#start(attempt, nowMs);
    }
  }

  #start(attempt: Attempt, nowMs: number): void {
    const refusal = this.#waiting.check(attempt, nowMs);
    if (refusal !== undefined) {
      this.#refuse(attempt, refusal, nowMs);
      return;
    }
    assertMayStart(attempt, this.#place, this.#options.view);
    this.#memory.markStarted(attempt, nowMs);
    this.#capacity.start(attempt, nowMs);
    this.#waiting.noteStart(attempt);
    this.#decisions.push({ type: "start", key: attempt.key });
  }

  /** The record of non-idempotent work is full: makes its attempts unusable. */
  #renewEpoch(): void {
    this.#place = { ...this.#place, epoch: this.#options.createEpoch() };
    this.#memory.rotateSpent();
  }

  #finish(key: string, outcome: RunOutcome, nowMs: number): void {
    const attempt = this.#memory.find(key);
    if (attempt?.state !== "running") return;
    if (outcome.kind === "failed") {
      this.#capacity.fail(attempt, outcome, nowMs);
      this.#end(attempt, this.#toBody(outcome.refusal), nowMs);
      return;
    }
    this.#capacity.complete(attempt, outcome, nowMs);
    const { kind: _kind, startId: _startId, ...end } = outcome;
    const chunks = attempt.frames.nextSequence;
    this.#end(attempt, { end: { ...end, chunks } }, nowMs);
  }

  #cancel(key: string, nowMs: number): void {
    const attempt = this.#memory.find(key);
    if (attempt === undefined) return;
    if (attempt.startedAtMs === undefined) {
      this.#revoke(attempt, nowMs);
      return;
    }
    // A non-idempotent call that has started goes on, so its outcome is known.
    if (attempt.state === "running" && attempt.idempotent) {
      this.#decisions.push({ type: "abort", key });
    }
  }

  #report(report: EngineReport, nowMs: number): void {
    if (this.#options.kind === "model") {
      this.#place = { ...this.#place, served: new Set(report.versions) };
    }
    this.#capacity.applyReport(report, nowMs);
  }

  #tick(nowMs: number): void {
    this.#memory.prune(nowMs);
    const oldestMs = nowMs - OVERRUN_MS;
    for (const attempt of this.#capacity.listRunning()) {
      if (!attempt.idempotent || attempt.deadlineAtMs >= oldestMs) continue;
      this.#decisions.push({ type: "abort", key: attempt.key });
    }
  }

  #revoke(attempt: Attempt, nowMs: number): void {
    const detail = `Attempt "${attempt.key}" was revoked before it started`;
    this.#refuse(attempt, createRefusal("attempt-revoked", detail), nowMs);
  }

  /** Refuses an attempt that has not started; it never will. */
  #refuse(attempt: Attempt, refusal: Refusal, nowMs: number): void {
    if (attempt.state === "ended") return;
    assertInvariant(
      refusal.ran === "no" && attempt.startedAtMs === undefined,
      "falseNotRun",
      `attempt "${attempt.key}" has started`,
    );
    this.#waiting.remove(attempt);
    this.#end(attempt, this.#toBody(refusal), nowMs);
  }

  #toBody(refusal: Refusal): FrameBody {
    return createRefusalBody(refusal, this.#options.view.state.revision);
  }

  #end(attempt: Attempt, body: FrameBody, nowMs: number): void {
    const frame = attempt.frames.append(body);
    this.#memory.markEnded(attempt, nowMs);
    this.#decisions.push({ type: "frame", key: attempt.key, frame });
  }
}
