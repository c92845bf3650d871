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
import type {
  DispatchRequest,
  End,
  Receipt,
  ReceiptStep,
} from "../schema/index.js";
import type { AnswerInfo, AnswerWriter } from "./answers.js";
import type { RequestWork } from "./caller_requests.js";
import type { ConfigView } from "./config_view.js";
import { AttemptCall } from "./dispatch.js";
import type { EndpointDirectory } from "./endpoint_directory.js";
import type { ClaimKeeper } from "./entry_claims.js";
import type { EntryLedger } from "./entry_ledger.js";
import {
  createServiceBill,
  type DispatchOutcome,
  runOrder,
} from "./order_runner.js";

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

export interface RequestRunnerOptions {
  readonly entry: string;
  readonly router: Router;
  readonly directory: EndpointDirectory;
  readonly config: ConfigView;
  readonly claims: ClaimKeeper;
  readonly ledger: EntryLedger;
  readonly ratings?: RatingService;
  readonly log: Logger;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly onHold: (version: string, reason: string) => void;
  readonly onOutcome: (outcome: RequestOutcome) => void;
}

export interface RequestSession {
  readonly token?: string;
  readonly moved?: string;
}

interface Attempt {
  readonly number: number;
  readonly endpoint: string;
  readonly version: string;
  readonly isFinal: boolean;
  readonly controller: AbortController;
  readonly chunks: Uint8Array[];
  end?: End;
}

interface PendingRequest {
  readonly route: RouteRequest;
  readonly work: RequestWork;
  readonly session: RequestSession;
  readonly writer: AnswerWriter;
  readonly startedAtMs: number;
  readonly attempts: Map<number, Attempt>;
  readonly steps: ReceiptStep[];
  hasWritten: boolean;
  settle: () => void;
}

type ActionOf<T extends RouterAction["type"]> = Extract<
  RouterAction,
  { type: T }
>;

const TOKENS_PER_COST_UNIT = 1_000;
const JUDGE_TIMEOUT_MS = 2_000;

export class RequestRunner {
  readonly #options: RequestRunnerOptions;
  readonly #pending = new Map<string, PendingRequest>();
  readonly #signal: AbortSignal;

  /** `signal` ends all work that is still running, after the graceful stop. */
  constructor(options: RequestRunnerOptions, signal: AbortSignal) {
    this.#options = options;
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
    this.#call(pending, attempt, {
      number: attempt.number,
      onChunk: (chunk) => {
        if (!hasStarted) {
          hasStarted = true;
          this.handle({ type: "started", requestId, attempt: attempt.number });
        }
        this.#takeChunk(pending, attempt, chunk);
      },
    }).then((outcome) => {
      if (outcome.kind === "ended")
        this.#complete(pending, attempt, outcome.end);
      else this.#fail(pending, attempt, outcome.refusal);
    });
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
    pending.steps.push(this.#createStep(pending, attempt, end));
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

  async #startOrder(pending: PendingRequest, attempt: Attempt): Promise<void> {
    const { route, work } = pending;
    const { claims, directory, config, now } = this.#options;
    const status = directory.getStatus(attempt.endpoint);
    const cost = config.state.services[route.service]?.costPerCall ?? 0;
    const remainingMs = route.deadlineAtMs - now();
    const outcome = await runOrder(
      {
        account: route.account,
        key: work.idempotencyKey ?? route.id,
        bodySha256: work.bodySha256,
        requestId: route.id,
        endpoint: attempt.endpoint,
        epoch: status?.epoch ?? "",
        deadlineAtMs: Date.now() + remainingMs,
        quote: createServiceBill(
          {
            requestId: route.id,
            account: route.account,
            service: route.service,
            endpoint: attempt.endpoint,
            dataCentre: status?.dataCentre ?? "",
          },
          cost,
          Date.now(),
        ),
      },
      {
        claims,
        getRemainingMs: () => route.deadlineAtMs - now(),
        dispatch: (claim) =>
          this.#call(pending, attempt, {
            number: claim.attempt,
            epoch: claim.epoch,
            claim: work.idempotencyKey ?? route.id,
            onChunk: () => {},
          }),
      },
      this.#signal,
    );
    if (outcome.kind === "ended") {
      attempt.end = outcome.end;
      this.handle({
        type: "completed",
        requestId: route.id,
        attempt: attempt.number,
        promptTokens: 0,
        outputTokens: 0,
      });
    } else if (outcome.kind === "not-run") {
      this.#fail(pending, attempt, outcome.refusal);
    } else this.#endOrder(pending, outcome.refusal);
  }

  /** The claim gave the final answer, so the router only forgets the request. */
  #endOrder(pending: PendingRequest, refusal: Refusal): void {
    const requestId = pending.route.id;
    this.handle({ type: "abandon", requestId });
    this.#refuse(requestId, refusal);
  }

  #call(
    pending: PendingRequest,
    attempt: Attempt,
    options: {
      number: number;
      epoch?: string;
      claim?: string;
      onChunk: (chunk: Uint8Array) => void;
    },
  ): Promise<DispatchOutcome> {
    const client = this.#options.directory.getClient(attempt.endpoint);
    if (client === undefined) {
      const refusal = createRefusal(
        "no-endpoint",
        `Endpoint "${attempt.endpoint}" is gone`,
      );
      return Promise.resolve({ kind: "refused", refusal });
    }
    const request = this.#createDispatch(pending, attempt, options);
    const signal = AbortSignal.any([attempt.controller.signal, this.#signal]);
    return new Promise((resolve) => {
      const call = new AttemptCall(client, request, {
        signal,
        handlers: {
          onChunk: options.onChunk,
          onEnd: (end) => resolve({ kind: "ended", end }),
          onRefusal: (refusal) => resolve({ kind: "refused", refusal }),
        },
      });
      call.start();
    });
  }

  #createDispatch(
    pending: PendingRequest,
    attempt: Attempt,
    options: { number: number; epoch?: string; claim?: string },
  ): DispatchRequest {
    const { route, work } = pending;
    const { entry, config, directory, now } = this.#options;
    return {
      requestId: route.id,
      attempt: options.number,
      entry,
      account: route.account,
      requestClass: route.requestClass,
      version: attempt.version,
      service: route.service,
      method: work.method,
      path: work.path,
      body: work.body,
      revision: config.state.revision,
      remainingMs: Math.max(0, Math.floor(route.deadlineAtMs - now())),
      priority: route.priority,
      idempotent: route.idempotent,
      epoch:
        options.epoch ?? directory.getStatus(attempt.endpoint)?.epoch ?? "",
      claim: options.claim ?? "",
      session: work.session ?? "",
      contentType: work.contentType,
      idempotencyKey: work.idempotencyKey ?? "",
    };
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
      receipt = this.#createReceipt(pending);
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

  #createStep(
    pending: PendingRequest,
    attempt: Attempt,
    end: End,
  ): ReceiptStep {
    const { config, directory } = this.#options;
    const { promptTokens, outputTokens } = end;
    const { service } = pending.route;
    const price = config.state.versions[attempt.version]?.costPerKiloToken ?? 0;
    const cost =
      service === ""
        ? ((promptTokens + outputTokens) / TOKENS_PER_COST_UNIT) * price
        : (config.state.services[service]?.costPerCall ?? 0);
    return {
      ...(service === "" ? { version: attempt.version } : { service }),
      endpoint: attempt.endpoint,
      dataCentre: directory.getStatus(attempt.endpoint)?.dataCentre ?? "",
      promptTokens,
      outputTokens,
      cost,
    };
  }

  #createReceipt(pending: PendingRequest): Receipt {
    const { route, steps } = pending;
    return {
      requestId: route.id,
      account: route.account,
      requestClass: route.requestClass,
      steps,
      cost: steps.reduce((sum, step) => sum + step.cost, 0),
      atMs: Date.now(),
    };
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
