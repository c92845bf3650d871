/**
 * Performs the router's actions for the requests of one entry: dispatches
 * attempts, asks the judge, saves the receipt and answers the caller.
 */

import { match } from "ts-pattern";
import {
  type Logger,
  METRICS,
  type Metrics,
  type RatingService,
} from "../adapters/index.js";
import type { EntryLedger } from "../billing/entry_ledger.js";
import {
  assertInvariant,
  createRefusal,
  type Refusal,
  type RouteRequest,
  type Router,
  type RouterAction,
  type RouterEvent,
} from "../core/index.js";
import type { End, Receipt } from "../schema/index.js";
import { AttemptRunner, type AttemptRunnerOptions } from "./attempt_runner.js";
import {
  type Attempt,
  createPendingRequest,
  type PendingRequest,
  type RunOptions,
} from "./pending_request.js";
import {
  createAttempt,
  createFailureEvent,
  type DispatchAction,
} from "./request_attempt.js";
import { callJudge } from "./request_judge.js";
import {
  createAnswerInfo,
  createAttemptStep,
  createOutcome,
  listReceiptHolders,
  type RequestOutcome,
} from "./request_outcome.js";
import { createReceipt } from "./request_receipts.js";

export interface RequestRunnerOptions extends AttemptRunnerOptions {
  /** Data centre of this entry. */
  readonly dataCentre: string;
  readonly router: Router;
  readonly ledger: EntryLedger;
  readonly ratings?: RatingService;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly onHold: (version: string, reason: string) => void;
  readonly onOutcome: (outcome: RequestOutcome) => void;
}

type ActionOf<T extends RouterAction["type"]> = Extract<
  RouterAction,
  { type: T }
>;

export class RequestRunner {
  readonly #options: RequestRunnerOptions;
  readonly #attempts: AttemptRunner;
  readonly #pending = new Map<string, PendingRequest>();
  readonly #signal: AbortSignal;

  /** `signal` aborts what still runs at the end of the graceful shutdown. */
  constructor(options: RequestRunnerOptions, signal: AbortSignal) {
    this.#options = options;
    this.#attempts = new AttemptRunner(options, signal);
    this.#signal = signal;
  }

  get openCount(): number {
    return this.#pending.size;
  }

  /** Versions to which a new session of the request may be assigned. */
  listSessionCandidates(route: RouteRequest): string[] {
    return this.#options.router.listSessionCandidates(route);
  }

  /** Passes an event to the router and performs the actions that it returns. */
  handle(event: RouterEvent): void {
    const { router, now } = this.#options;
    for (const action of router.handle(event, now())) this.#perform(action);
  }

  /** Runs a request; resolves when its answer or refusal has been written. */
  run(route: RouteRequest, options: RunOptions): Promise<void> {
    const { payload, session, writer, signal } = options;
    return new Promise((resolve) => {
      const abandon = () => this.#abandon(route.id);
      signal.addEventListener("abort", abandon, { once: true });
      const settle = () => {
        signal.removeEventListener("abort", abandon);
        resolve();
      };
      const startedAtMs = this.#options.now();
      const fields = { route, payload, session, writer, startedAtMs, settle };
      this.#pending.set(route.id, createPendingRequest(fields));
      this.handle({ type: "submit", request: route });
    });
  }

  #perform(action: RouterAction): void {
    match(action)
      .with({ type: "dispatch" }, (a) => this.#dispatch(a))
      .with({ type: "cancel-attempt" }, (a) => this.#cancel(a))
      .with({ type: "judge" }, (a) => void this.#judge(a))
      .with({ type: "answer" }, (a) => void this.#answer(a))
      .with({ type: "refuse" }, (a) => this.#refuse(a.requestId, a.refusal))
      .with({ type: "hold-version" }, (a) =>
        this.#options.onHold(a.version, a.reason),
      )
      .exhaustive();
  }

  #dispatch(action: DispatchAction): void {
    const pending = this.#pending.get(action.requestId);
    if (pending === undefined) return;
    const { route } = pending;
    const attempt = createAttempt(route, action);
    pending.attempts.set(action.attempt, attempt);
    const { directory, metrics } = this.#options;
    metrics.addCount(METRICS.dispatches, {
      class: route.requestClass,
      version: attempt.version || "-",
      to: directory.getStatus(attempt.endpoint)?.dataCentre ?? "-",
    });
    if (route.idempotent) this.#startAttempt(pending, attempt);
    else void this.#startClaimedCall(pending, attempt);
  }

  #startAttempt(pending: PendingRequest, attempt: Attempt): void {
    const { id: requestId } = pending.route;
    let hasFirstChunk = false;
    const onChunk = (chunk: Uint8Array) => {
      if (!hasFirstChunk) {
        hasFirstChunk = true;
        this.handle({ type: "started", requestId, attempt: attempt.number });
      }
      this.#handleChunk(pending, attempt, chunk);
    };
    void this.#attempts.run(pending, attempt, onChunk).then((outcome) => {
      if (outcome.kind === "refused") {
        this.#fail(pending, attempt, outcome.refusal);
        return;
      }
      const { end } = outcome;
      const { directory, config } = this.#options;
      const options = { end, directory, state: config.state };
      pending.steps.push(createAttemptStep(pending, attempt, options));
      this.#complete(pending, attempt, end);
    });
  }

  async #startClaimedCall(
    pending: PendingRequest,
    attempt: Attempt,
  ): Promise<void> {
    const outcome = await this.#attempts.runClaimedCall(pending, attempt);
    match(outcome)
      .with({ kind: "ended" }, ({ end }) =>
        this.#complete(pending, attempt, end),
      )
      .with({ kind: "not-run" }, ({ refusal }) =>
        this.#fail(pending, attempt, refusal),
      )
      .with({ kind: "refused" }, ({ refusal }) =>
        this.#refuseClaimedCall(pending, refusal),
      )
      .exhaustive();
  }

  #handleChunk(
    pending: PendingRequest,
    attempt: Attempt,
    chunk: Uint8Array,
  ): void {
    attempt.chunks.push(chunk);
    if (!attempt.isFinal || !pending.payload.stream) return;
    pending.hasWritten = true;
    pending.firstByteAtMs ??= this.#options.now();
    pending.writer.write(this.#createInfo(pending, attempt), chunk);
  }

  #complete(pending: PendingRequest, attempt: Attempt, end: End): void {
    attempt.end = end;
    this.handle({
      type: "completed",
      requestId: pending.route.id,
      attempt: attempt.number,
      promptTokens: end.promptTokens,
      outputTokens: end.outputTokens,
    });
  }

  #fail(pending: PendingRequest, attempt: Attempt, refusal: Refusal): void {
    this.#options.log.debug("attempt-failed", {
      request: pending.route.id,
      attempt: attempt.number,
      endpoint: attempt.endpoint,
      code: refusal.code,
      ran: refusal.ran,
      detail: refusal.detail,
    });
    this.#options.metrics.addCount(METRICS.attemptsFailed, {
      class: pending.route.requestClass,
      code: refusal.code,
    });
    this.handle(createFailureEvent(pending, attempt, refusal));
  }

  /** The claim decided the outcome, so the router only drops the request. */
  #refuseClaimedCall(pending: PendingRequest, refusal: Refusal): void {
    const requestId = pending.route.id;
    this.handle({ type: "abandon", requestId });
    this.#refuse(requestId, refusal);
  }

  #cancel(action: ActionOf<"cancel-attempt">): void {
    const pending = this.#pending.get(action.requestId);
    // A claimed call is not cancelled: it runs to its end, and only its claim
    // tells the outcome.
    if (pending === undefined || !pending.route.idempotent) return;
    pending.attempts.get(action.attempt)?.controller.abort();
  }

  async #judge(action: ActionOf<"judge">): Promise<void> {
    const { requestId, attempt: number } = action;
    const pending = this.#pending.get(requestId);
    const attempt = pending?.attempts.get(number);
    if (pending === undefined || attempt === undefined) return;
    const passed = await callJudge(pending, attempt, this.#options);
    this.handle({ type: "judged", requestId, attempt: number, passed });
  }

  async #answer(action: ActionOf<"answer">): Promise<void> {
    const pending = this.#pending.get(action.requestId);
    const attempt = pending?.attempts.get(action.attempt);
    const end = attempt?.end;
    if (pending === undefined || attempt === undefined) return;
    assertInvariant(
      end !== undefined,
      "wrongOrPartialAnswer",
      `Attempt ${action.attempt} of "${action.requestId}" is answered before its end`,
    );
    let receipt: Receipt | undefined;
    // A claimed call is billed by its claim.
    if (pending.route.idempotent) {
      receipt = createReceipt(pending, Date.now());
      const { directory } = this.#options;
      const holders = listReceiptHolders(directory.listStatus(), {
        dataCentre: this.#options.dataCentre,
        endpoint: attempt.endpoint,
        random: Math.random,
      });
      await this.#options.ledger.add(receipt, { holders }, this.#signal);
    }
    if (!this.#pending.delete(action.requestId)) return;
    const info = this.#createInfo(pending, attempt);
    pending.firstByteAtMs ??= this.#options.now();
    pending.writer.finish(info, end, pending.hasWritten ? [] : attempt.chunks);
    this.#report(pending, attempt, { receipt });
    pending.settle();
  }

  #refuse(requestId: string, refusal: Refusal): void {
    const pending = this.#pending.get(requestId);
    if (pending === undefined) return;
    this.#pending.delete(requestId);
    for (const attempt of pending.attempts.values()) {
      if (pending.route.idempotent) attempt.controller.abort();
    }
    pending.writer.refuse(requestId, refusal);
    this.#report(pending, [...pending.attempts.values()].at(-1), { refusal });
    pending.settle();
  }

  /**
   * Drops the request of a disconnected caller. A claimed call runs on, as the
   * caller may repeat it and then gets its answer.
   */
  #abandon(requestId: string): void {
    const pending = this.#pending.get(requestId);
    if (pending === undefined || !pending.route.idempotent) return;
    this.handle({ type: "abandon", requestId });
    this.#refuse(
      requestId,
      createRefusal("outcome-unknown", "The caller closed the connection"),
    );
  }

  #report(
    pending: PendingRequest,
    attempt: Attempt | undefined,
    result: { receipt?: Receipt; refusal?: Refusal },
  ): void {
    const { directory, now, onOutcome } = this.#options;
    onOutcome(
      createOutcome(pending, { attempt, directory, nowMs: now(), ...result }),
    );
  }

  #createInfo(pending: PendingRequest, attempt: Attempt) {
    const { revision } = this.#options.config.state;
    return createAnswerInfo(pending, attempt, revision);
  }
}
