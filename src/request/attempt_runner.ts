/** Dispatches the attempts of requests, orders under their claims. */

import type { EntryClaims } from "../billing/entry_claims.js";
import type { ConfigView } from "../configuration/config_view.js";
import { createRefusal } from "../core/index.js";
import type { EndpointDirectory } from "../entry/endpoint_directory.js";
import type { DispatchRequest } from "../schema/index.js";
import { AttemptCall } from "./dispatch.js";
import {
  type DispatchOutcome,
  type OrderOutcome,
  runOrder,
} from "./order_runner.js";
import type { Attempt, PendingRequest } from "./pending_request.js";
import { createReceipt, createReceiptStep } from "./request_receipts.js";

export interface AttemptRunnerOptions {
  readonly entry: string;
  readonly directory: EndpointDirectory;
  readonly config: ConfigView;
  readonly claims: EntryClaims;
  /** Monotonic milliseconds. */
  readonly now: () => number;
}

interface CallOptions {
  /** Attempt number that the gate sees. */
  readonly number: number;
  readonly epoch: string;
  readonly claim: string;
  readonly onChunk: (chunk: Uint8Array) => void;
}

export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;
  readonly #signal: AbortSignal;

  /** `signal` ends all calls at the end of the graceful shutdown. */
  constructor(options: AttemptRunnerOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
  }

  /** Runs an idempotent attempt. */
  run(
    pending: PendingRequest,
    attempt: Attempt,
    onChunk: (chunk: Uint8Array) => void,
  ): Promise<DispatchOutcome> {
    const { number, endpoint } = attempt;
    const epoch = this.#options.directory.getStatus(endpoint)?.epoch ?? "";
    return this.#call(pending, attempt, { number, epoch, claim: "", onChunk });
  }

  /** Runs a non-idempotent call; the claim decides whether it may start. */
  async runOrder(
    pending: PendingRequest,
    attempt: Attempt,
  ): Promise<OrderOutcome> {
    const { route, work } = pending;
    const { claims, directory, now } = this.#options;
    const key = work.idempotencyKey ?? route.id;
    const getRemainingMs = () => route.deadlineAtMs - now();
    const order = {
      account: route.account,
      key,
      bodySha256: work.bodySha256,
      requestId: route.id,
      endpoint: attempt.endpoint,
      epoch: directory.getStatus(attempt.endpoint)?.epoch ?? "",
      deadlineAtMs: Date.now() + getRemainingMs(),
      quote: this.#createQuote(pending, attempt),
    };
    const dispatch = (claim: { attempt: number; epoch: string }) =>
      this.#call(pending, attempt, {
        number: claim.attempt,
        epoch: claim.epoch,
        claim: key,
        onChunk: () => {},
      });
    const options = { claims, getRemainingMs, dispatch };
    return await runOrder(order, options, this.#signal);
  }

  #createQuote(pending: PendingRequest, attempt: Attempt) {
    const { directory, config } = this.#options;
    const step = createReceiptStep(
      {
        version: "",
        service: pending.route.service,
        endpoint: attempt.endpoint,
        dataCentre: directory.getStatus(attempt.endpoint)?.dataCentre ?? "",
        promptTokens: 0,
        outputTokens: 0,
      },
      config.state,
    );
    return createReceipt({ route: pending.route, steps: [step] }, Date.now());
  }

  #call(
    pending: PendingRequest,
    attempt: Attempt,
    options: CallOptions,
  ): Promise<DispatchOutcome> {
    const client = this.#options.directory.getClient(attempt.endpoint);
    if (client === undefined) {
      const detail = `Endpoint "${attempt.endpoint}" is gone`;
      const refusal = createRefusal("no-endpoint", detail);
      return Promise.resolve({ kind: "refused", refusal });
    }
    const request = this.#createDispatch(pending, attempt, options);
    const { controller } = attempt;
    // AbortSignal.any would keep one entry for each call on the long-lived signal.
    const stop = () => controller.abort();
    this.#signal.addEventListener("abort", stop, { once: true });
    const unlink = () => this.#signal.removeEventListener("abort", stop);
    // A cancelled call has no outcome, so the promise below never settles.
    controller.signal.addEventListener("abort", unlink, { once: true });
    return new Promise<DispatchOutcome>((resolve) => {
      const call = new AttemptCall(client, request, {
        signal: controller.signal,
        handlers: {
          onChunk: options.onChunk,
          onEnd: (end) => resolve({ kind: "ended", end }),
          onRefusal: (refusal) => resolve({ kind: "refused", refusal }),
        },
      });
      call.start();
    }).finally(unlink);
  }

  #createDispatch(
    pending: PendingRequest,
    attempt: Attempt,
    options: CallOptions,
  ): DispatchRequest {
    const { route, work } = pending;
    const { entry, config, now } = this.#options;
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
      epoch: options.epoch,
      claim: options.claim,
      session: work.session ?? "",
      contentType: work.contentType,
      idempotencyKey: work.idempotencyKey ?? "",
    };
  }
}
