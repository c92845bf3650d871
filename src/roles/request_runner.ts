/**
 * Carries out the router's actions for the requests of one entry: dispatches
 * attempts, asks the judge, keeps the receipt safe and answers the caller.
 */

import { match } from "ts-pattern";
import type { Logger, RatingService } from "../adapters/index.js";
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
import type { AnswerInfo, AnswerWriter } from "./answers.js";
import { AttemptRunner, type AttemptRunnerOptions } from "./attempt_runner.js";
import type { RequestWork } from "./caller_requests.js";
import type { EntryLedger } from "./entry_ledger.js";
import type {
  Attempt,
  PendingRequest,
  RequestSession,
} from "./pending_request.js";
import { createReceipt, createReceiptStep } from "./request_receipts.js";

/** How a request ended, for metrics and service-level counts. */
export interface RequestOutcome {
  readonly route: RouteRequest;
  readonly version: string;
  readonly dataCentre: string;
  readonly durationMs: number;
  readonly refusal?: Refusal;
  readonly receipt?: Receipt;
  readonly answer?: string;
}

export interface RequestRunnerOptions extends AttemptRunnerOptions {
  readonly router: Router;
  readonly ledger: EntryLedger;
  readonly ratings?: RatingService;
  readonly log: Logger;
  readonly onHold: (version: string, reason: string) => void;
  readonly onOutcome: (outcome: RequestOutcome) => void;
}

type ActionOf<T extends RouterAction["type"]> = Extract<
  RouterAction,
  { type: T }
>;

const JUDGE_TIMEOUT_MS = 2_000;

export class RequestRunner {
  readonly #options: RequestRunnerOptions;
  readonly #attempts: AttemptRunner;
  readonly #pending = new Map<string, PendingRequest>();
  readonly #signal: AbortSignal;

  /** `signal` ends all work that is still running, after the graceful stop. */
  constructor(options: RequestRunnerOptions, signal: AbortSignal) {
    this.#options = options;
    this.#attempts = new AttemptRunner(options, signal);
    this.#signal = signal;
  }

  get openCount(): number {
    return this.#pending.size;
  }

  /** Feeds an event to the router and carries out what it decides. */
  handle(event: RouterEvent): void {
    const { router, now } = this.#options;
    for (const action of router.handle(event, now())) this.#perform(action);
  }

  /** Runs a request; settles when the caller has its answer or refusal. */
  run(
    route: RouteRequest,
    options: {
      work: RequestWork;
      session: RequestSession;
      writer: AnswerWriter;
      signal: AbortSignal;
    },
  ): Promise<void> {
    const { work, session, writer, signal } = options;
    return new Promise((resolve) => {
      const abandon = () => this.#abandon(route.id);
      signal.addEventListener("abort", abandon, { once: true });
      this.#pending.set(route.id, {
        route,
        work,
        session,
        writer,
        startedAtMs: this.#options.now(),
        attempts: new Map(),
        steps: [],
        hasWritten: false,
        settle: () => {
          signal.removeEventListener("abort", abandon);
          resolve();
        },
      });
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

  #dispatch(action: ActionOf<"dispatch">): void {
    const pending = this.#pending.get(action.requestId);
    if (pending === undefined) return;
    const { route } = pending;
    assertInvariant(
      route.kind === "service" || route.candidates.includes(action.version),
      "notAllowed",
      `Version "${action.version}" was chosen for account "${route.account}"`,
    );
    assertInvariant(
      route.sessionVersion === undefined ||
        route.sessionVersion === action.version,
      "sessionMoved",
      `Version "${action.version}" was chosen for a session on "${route.sessionVersion}"`,
    );
    const attempt: Attempt = {
      number: action.attempt,
      endpoint: action.endpoint,
      version: action.version,
      isFinal: action.final,
      controller: new AbortController(),
      chunks: [],
    };
    pending.attempts.set(action.attempt, attempt);
    if (route.idempotent) this.#startAttempt(pending, attempt);
    else void this.#startOrder(pending, attempt);
  }

  #startAttempt(pending: PendingRequest, attempt: Attempt): void {
    const { id: requestId } = pending.route;
    let hasStarted = false;
    const onChunk = (chunk: Uint8Array) => {
      if (!hasStarted) {
        hasStarted = true;
        this.handle({ type: "started", requestId, attempt: attempt.number });
      }
      this.#takeChunk(pending, attempt, chunk);
    };
    void this.#attempts.run(pending, attempt, onChunk).then((outcome) => {
      if (outcome.kind === "refused") {
        this.#fail(pending, attempt, outcome.refusal);
        return;
      }
      pending.steps.push(this.#createStep(pending, attempt, outcome.end));
      this.#complete(pending, attempt, outcome.end);
    });
  }

  async #startOrder(pending: PendingRequest, attempt: Attempt): Promise<void> {
    const outcome = await this.#attempts.runOrder(pending, attempt);
    match(outcome)
      .with({ kind: "ended" }, ({ end }) =>
        this.#complete(pending, attempt, end),
      )
      .with({ kind: "not-run" }, ({ refusal }) =>
        this.#fail(pending, attempt, refusal),
      )
      .with({ kind: "refused" }, ({ refusal }) =>
        this.#endOrder(pending, refusal),
      )
      .exhaustive();
  }

  #takeChunk(
    pending: PendingRequest,
    attempt: Attempt,
    chunk: Uint8Array,
  ): void {
    attempt.chunks.push(chunk);
    if (!attempt.isFinal || !pending.work.stream) return;
    pending.hasWritten = true;
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
    const requestId = pending.route.id;
    this.#options.log.debug("attempt-failed", {
      request: requestId,
      attempt: attempt.number,
      endpoint: attempt.endpoint,
      code: refusal.code,
      ran: refusal.ran,
      detail: refusal.detail,
    });
    if (refusal.ran === "no" && !pending.hasWritten) {
      const number = attempt.number;
      this.handle({ type: "refused", requestId, attempt: number, refusal });
      return;
    }
    this.handle({
      type: "failed",
      requestId,
      attempt: attempt.number,
      ran: refusal.ran,
      delivered: pending.hasWritten,
      refusal,
    });
  }

  /** The claim gave the final answer, so the router only forgets the request. */
  #endOrder(pending: PendingRequest, refusal: Refusal): void {
    const requestId = pending.route.id;
    this.handle({ type: "abandon", requestId });
    this.#refuse(requestId, refusal);
  }

  #cancel(action: ActionOf<"cancel-attempt">): void {
    const pending = this.#pending.get(action.requestId);
    // An order that was dispatched runs to its end; only its claim may tell.
    if (pending === undefined || !pending.route.idempotent) return;
    pending.attempts.get(action.attempt)?.controller.abort();
  }

  async #judge(action: ActionOf<"judge">): Promise<void> {
    const { requestId, attempt: number, version } = action;
    const pending = this.#pending.get(requestId);
    const attempt = pending?.attempts.get(number);
    if (pending === undefined || attempt === undefined) return;
    const leftMs = pending.route.deadlineAtMs - this.#options.now();
    const timeoutMs = Math.max(1, Math.min(JUDGE_TIMEOUT_MS, leftMs));
    const verdict = await this.#options.ratings?.judge(
      {
        requestId,
        requestClass: pending.route.requestClass,
        version,
        answer: Buffer.concat(attempt.chunks).toString("utf8"),
      },
      AbortSignal.timeout(Math.ceil(timeoutMs)),
    );
    const passed = verdict?.isOk() ? verdict.value : undefined;
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
      `Attempt ${action.attempt} of "${action.requestId}" has no end`,
    );
    let receipt: Receipt | undefined;
    // An order's bill is in its claim.
    if (pending.route.idempotent) {
      receipt = createReceipt(pending, Date.now());
      const holders = this.#listHolders(attempt.endpoint);
      await this.#options.ledger.add(receipt, { holders }, this.#signal);
    }
    if (!this.#pending.delete(action.requestId)) return;
    const info = this.#createInfo(pending, attempt);
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

  /** The caller went away; an order keeps running for its next caller. */
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
    const { directory, now } = this.#options;
    this.#options.onOutcome({
      route: pending.route,
      version: attempt?.version ?? "",
      dataCentre:
        directory.getStatus(attempt?.endpoint ?? "")?.dataCentre ?? "",
      durationMs: now() - pending.startedAtMs,
      answer:
        result.receipt && attempt
          ? Buffer.concat(attempt.chunks).toString("utf8")
          : undefined,
      ...result,
    });
  }

  /** The endpoint of the last step first, then any others. */
  #listHolders(endpoint: string): string[] {
    const others = this.#options.directory
      .listStatus()
      .filter((status) => status.endpoint !== endpoint && !status.leaving)
      .map((status) => status.endpoint);
    return [endpoint, ...others];
  }

  #createStep(pending: PendingRequest, attempt: Attempt, end: End) {
    const { config, directory } = this.#options;
    return createReceiptStep(
      {
        version: attempt.version,
        service: pending.route.service,
        endpoint: attempt.endpoint,
        dataCentre: directory.getStatus(attempt.endpoint)?.dataCentre ?? "",
        promptTokens: end.promptTokens,
        outputTokens: end.outputTokens,
      },
      config.state,
    );
  }

  #createInfo(pending: PendingRequest, attempt: Attempt): AnswerInfo {
    return {
      requestId: pending.route.id,
      version: attempt.version,
      revision: this.#options.config.state.revision,
      sessionToken: pending.session.token,
      sessionMoved: pending.session.moved,
    };
  }
}
