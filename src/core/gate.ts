/**
 * The endpoint's gate: the last check before an engine or a plain service is
 * called. It takes events and returns decisions, which the endpoint's process
 * must carry out at once.
 */

import { match } from "ts-pattern";
import type {
  DispatchRequest,
  EndpointStatus,
  Frame,
  LookUpAttemptReply,
  LookUpAttemptRequest,
} from "../schema/index.js";
import { ArrivalClock } from "./arrival_clock.js";
import {
  type Attempt,
  AttemptRegistry,
  createAttemptKey,
} from "./attempt_registry.js";
import { assertInvariant, createRefusal, type Refusal } from "./errors.js";
import { createRefusalFrameBody, type FrameBody } from "./frame_log.js";
import { GateCapacity } from "./gate_capacity.js";
import {
  assertMayStart,
  type LocalState,
  parseDispatch,
} from "./gate_checks.js";
import type {
  EngineReport,
  GateDecision,
  GateEvent,
  GateOptions,
  RunOutcome,
} from "./gate_events.js";
import { GateWaitingList } from "./gate_waiting_list.js";

/** Idempotent work is aborted this long after its deadline: no one waits. */
const DEADLINE_GRACE_MS = 1_000;

export class Gate {
  readonly #options: GateOptions;
  readonly #attempts: AttemptRegistry;
  readonly #capacity: GateCapacity;
  readonly #waiting: GateWaitingList;
  readonly #clock = new ArrivalClock();
  #localState: LocalState;
  #decisions: GateDecision[] = [];

  constructor(options: GateOptions) {
    this.#options = options;
    this.#attempts = new AttemptRegistry(options.registryLimits);
    this.#capacity = new GateCapacity(options);
    this.#waiting = new GateWaitingList({
      slots: options.slots,
      view: options.view,
      capacity: this.#capacity,
      getLocalState: () => this.#localState,
    });
    this.#localState = {
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
    return this.#attempts.find(key);
  }

  handle(event: GateEvent, nowMs: number): GateDecision[] {
    this.#clock.recordEventTime(nowMs);
    match(event)
      .with({ type: "dispatch" }, ({ request }) =>
        this.#dispatch(request, nowMs),
      )
      .with({ type: "fetched" }, ({ key }) => this.#admitFetched(key, nowMs))
      .with({ type: "finished" }, ({ key, outcome }) =>
        this.#finish(key, outcome, nowMs),
      )
      .with({ type: "cancel" }, ({ key }) => this.#cancel(key, nowMs))
      .with({ type: "report" }, ({ report }) =>
        this.#applyReport(report, nowMs),
      )
      .with({ type: "leaving" }, ({ reason }) => {
        this.#localState = { ...this.#localState, leaving: reason };
      })
      .with({ type: "tick" }, () => this.#tick(nowMs))
      .exhaustive();
    // After a finished call, the next tick checks the waiting attempts.
    const checksWaiting = event.type !== "finished";
    const refused = checksWaiting ? this.#waiting.findRefused(nowMs) : [];
    for (const { attempt, refusal } of refused) {
      this.#refuse(attempt, refusal, nowMs);
    }
    this.#startQueued(nowMs);
    return this.#takeDecisions();
  }

  /** Appends a chunk to a running attempt's frames. */
  appendChunk(key: string, data: Uint8Array): Frame | undefined {
    const attempt = this.#attempts.find(key);
    if (attempt?.state !== "running") return undefined;
    return attempt.frames.append({ chunk: { data } });
  }

  /** Revokes an attempt that has not started, else returns its state. */
  lookUp(
    request: LookUpAttemptRequest,
    nowMs: number,
  ): { reply: LookUpAttemptReply; decisions: GateDecision[] } {
    const key = createAttemptKey(request.requestId, request.attempt);
    const attempt = this.#attempts.find(key);
    if (attempt !== undefined && attempt.startedAtMs === undefined) {
      this.#revoke(attempt, nowMs);
    }
    if (this.#attempts.isUsedKeyLimitReached) this.#renewEpoch();
    const state = this.#attempts.lookUp(
      key,
      request.epoch === this.#localState.epoch,
    );
    const lastFrame = attempt?.frames.lastFrame;
    return { reply: { state, lastFrame }, decisions: this.#takeDecisions() };
  }

  describeStatus(): EndpointStatus {
    const { kind, services, slots } = this.#options;
    const { endpoint, dataCentre, epoch, leaving, served } = this.#localState;
    const { limit, inFlight, meanMsPerUnit, isCold } = this.#capacity;
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
      meanServiceMs: meanMsPerUnit,
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
    if (this.#attempts.isUsedKeyLimitReached) this.#renewEpoch();
    const { requestId, remainingMs, revision } = parsed;
    const key = createAttemptKey(requestId, parsed.attempt);
    const repeat = this.#attempts.checkDuplicate(key);
    if (repeat !== undefined) {
      this.#decisions.push({ type: "reject", refusal: repeat });
      return;
    }
    const arrivedAtMs = this.#clock.getArrivalMs(nowMs);
    const attempt = this.#attempts.add(parsed, arrivedAtMs + remainingMs);
    if (revision <= this.#options.view.state.revision) {
      this.#admit(attempt, nowMs);
      return;
    }
    const refusal = this.#waiting.addFetching(attempt, nowMs);
    if (refusal !== undefined) this.#refuse(attempt, refusal, nowMs);
    else this.#decisions.push({ type: "fetch", key, revision, remainingMs });
  }

  #admitFetched(key: string, nowMs: number): void {
    const attempt = this.#attempts.find(key);
    if (attempt === undefined || !this.#waiting.endFetching(attempt)) return;
    const { revision } = this.#options.view.state;
    if (attempt.request.revision <= revision) {
      this.#admit(attempt, nowMs);
      return;
    }
    const detail = `Revision ${attempt.request.revision} can't be fetched; the highest known one is ${revision}`;
    this.#refuse(attempt, createRefusal("stale-revision", detail), nowMs);
  }

  /** Every admitted attempt goes through the queue, even an empty one. */
  #admit(attempt: Attempt, nowMs: number): void {
    const refusal = this.#waiting.check(attempt, nowMs);
    const refused =
      refusal === undefined
        ? this.#waiting.push(attempt, nowMs)
        : { attempt, refusal };
    if (refused !== undefined)
      this.#refuse(refused.attempt, refused.refusal, nowMs);
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
    assertMayStart(attempt, this.#localState, this.#options.view);
    this.#attempts.markStarted(attempt, nowMs);
    this.#capacity.start(attempt, nowMs);
    this.#waiting.recordStart(attempt);
    this.#decisions.push({ type: "start", key: attempt.key });
  }

  /**
   * Makes room for more keys of non-idempotent attempts. Dispatches that name
   * the old epoch are then refused.
   */
  #renewEpoch(): void {
    this.#localState = {
      ...this.#localState,
      epoch: this.#options.createEpoch(),
    };
    this.#attempts.rotateUsedKeys();
  }

  #finish(key: string, outcome: RunOutcome, nowMs: number): void {
    const attempt = this.#attempts.find(key);
    if (attempt?.state !== "running") return;
    if (outcome.kind === "failed") {
      this.#capacity.fail(attempt, outcome, nowMs);
      this.#end(attempt, this.#createFrameBody(outcome.refusal), nowMs);
      return;
    }
    this.#capacity.complete(attempt, outcome, nowMs);
    const { kind: _kind, startId: _startId, ...end } = outcome;
    const chunks = attempt.frames.nextSequence;
    this.#end(attempt, { end: { ...end, chunks } }, nowMs);
  }

  #cancel(key: string, nowMs: number): void {
    const attempt = this.#attempts.find(key);
    if (attempt === undefined) return;
    if (attempt.startedAtMs === undefined) {
      this.#revoke(attempt, nowMs);
      return;
    }
    // A started non-idempotent call runs on, so that its outcome is known.
    if (attempt.state === "running" && attempt.idempotent) {
      this.#decisions.push({ type: "abort", key });
    }
  }

  #applyReport(report: EngineReport, nowMs: number): void {
    if (this.#options.kind === "model") {
      this.#localState = {
        ...this.#localState,
        served: new Set(report.versions),
      };
    }
    this.#capacity.applyReport(report, nowMs);
  }

  #tick(nowMs: number): void {
    this.#attempts.prune(nowMs);
    const oldestMs = nowMs - DEADLINE_GRACE_MS;
    for (const attempt of this.#capacity.listRunning()) {
      if (!attempt.idempotent || attempt.deadlineAtMs >= oldestMs) continue;
      this.#decisions.push({ type: "abort", key: attempt.key });
    }
  }

  #revoke(attempt: Attempt, nowMs: number): void {
    const detail = `Attempt "${attempt.key}" was revoked before it started`;
    this.#refuse(attempt, createRefusal("attempt-revoked", detail), nowMs);
  }

  /** Refuses an attempt that has not started and now never will. */
  #refuse(attempt: Attempt, refusal: Refusal, nowMs: number): void {
    if (attempt.state === "ended") return;
    assertInvariant(
      refusal.ran === "no" && attempt.startedAtMs === undefined,
      "falseNotRun",
      `attempt "${attempt.key}" has started`,
    );
    this.#waiting.remove(attempt);
    this.#end(attempt, this.#createFrameBody(refusal), nowMs);
  }

  #createFrameBody(refusal: Refusal): FrameBody {
    return createRefusalFrameBody(refusal, this.#options.view.state.revision);
  }

  #end(attempt: Attempt, body: FrameBody, nowMs: number): void {
    const frame = attempt.frames.append(body);
    this.#attempts.markEnded(attempt, nowMs);
    this.#decisions.push({ type: "frame", key: attempt.key, frame });
  }
}
