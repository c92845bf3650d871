/** Runs attempts at endpoints; non-idempotent calls run under a claim. */

import type { EntryClaims } from "../billing/entry_claims.js";
import type { ConfigView } from "../configuration/config_view.js";
import { createRefusal } from "../core/index.js";
import type { EndpointDirectory } from "../entry/endpoint_directory.js";
import type { DispatchRequest } from "../schema/index.js";
import { AttemptCall } from "./attempt_call.js";
import type { Attempt, PendingRequest } from "./pending_request.js";
import { createReceipt, createReceiptStep } from "./request_receipts.js";
import {
  type ClaimedCallOutcome,
  type DispatchOutcome,
  runClaimedCall,
} from "./run_claimed_call.js";

export interface AttemptRunnerOptions {
  readonly entry: string;
  readonly directory: EndpointDirectory;
  readonly config: ConfigView;
  readonly claims: EntryClaims;
  /** Monotonic milliseconds. */
  readonly now: () => number;
}

interface CallOptions {
  /** Attempt number sent to the gate; for a claimed call, the claim's. */
  readonly attemptNumber: number;
  readonly epoch: string;
  readonly claim: string;
  readonly onChunk: (chunk: Uint8Array) => void;
}

export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;
  readonly #signal: AbortSignal;

  /** `signal` aborts all calls at the end of the graceful shutdown. */
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
    const { number: attemptNumber, endpoint } = attempt;
    const epoch = this.#options.directory.getStatus(endpoint)?.epoch ?? "";
    return this.#call(pending, attempt, {
      attemptNumber,
      epoch,
      claim: "",
      onChunk,
    });
  }

  /** Runs a non-idempotent call; the claim decides whether it may start. */
  async runClaimedCall(
    pending: PendingRequest,
    attempt: Attempt,
  ): Promise<ClaimedCallOutcome> {
    const { route, payload } = pending;
    const { claims, directory, now } = this.#options;
    const key = payload.idempotencyKey ?? route.id;
    const getRemainingMs = () => route.deadlineAtMs - now();
    const acquireRequest = {
      account: route.account,
      key,
      bodySha256: payload.bodySha256,
      requestId: route.id,
      endpoint: attempt.endpoint,
      epoch: directory.getStatus(attempt.endpoint)?.epoch ?? "",
      deadlineAtMs: Date.now() + getRemainingMs(),
      quote: this.#createQuote(pending, attempt),
    };
    const dispatch = (claim: { attempt: number; epoch: string }) =>
      this.#call(pending, attempt, {
        attemptNumber: claim.attempt,
        epoch: claim.epoch,
        claim: key,
        onChunk: () => {},
      });
    const options = { claims, getRemainingMs, dispatch };
    return await runClaimedCall(acquireRequest, options, this.#signal);
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
      const detail = `Endpoint "${attempt.endpoint}" is no longer known`;
      const refusal = createRefusal("no-endpoint", detail);
      return Promise.resolve({ kind: "refused", refusal });
    }
    const request = this.#createDispatch(pending, attempt, options);
    const { controller } = attempt;
    // AbortSignal.any would leave an entry for each call on the long-lived
    // signal.
    const abort = () => controller.abort();
    this.#signal.addEventListener("abort", abort, { once: true });
    const removeStopListener = () =>
      this.#signal.removeEventListener("abort", abort);
    // A cancel removes it at once, without waiting for an outcome of the call.
    controller.signal.addEventListener("abort", removeStopListener, {
      once: true,
    });
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
    }).finally(removeStopListener);
  }

  #createDispatch(
    pending: PendingRequest,
    attempt: Attempt,
    options: CallOptions,
  ): DispatchRequest {
    const { route, payload } = pending;
    const { entry, config, now } = this.#options;
    return {
      requestId: route.id,
      attempt: options.attemptNumber,
      entry,
      account: route.account,
      requestClass: route.requestClass,
      version: attempt.version,
      service: route.service,
      method: payload.method,
      path: payload.path,
      body: payload.body,
      revision: config.state.revision,
      remainingMs: Math.max(0, Math.floor(route.deadlineAtMs - now())),
      priority: route.priority,
      idempotent: route.idempotent,
      epoch: options.epoch,
      claim: options.claim,
      session: payload.session ?? "",
      contentType: payload.contentType,
      idempotencyKey: payload.idempotencyKey ?? "",
    };
  }
}
