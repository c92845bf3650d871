/** One answer that the engine stand-in streams as server-sent events. */

import type { Priority } from "../schema/index.js";
import type { BatchRun } from "./engine_batch.js";
import { type Call, sendReply } from "./server.js";

export interface RunSpec {
  readonly requestId: string;
  readonly version: string;
  readonly startId: string;
  readonly chunks: string[];
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** A run as `GET /record` returns it. */
export interface RunRecord {
  readonly requestId: string;
  readonly version: string;
  readonly account: string;
  readonly session: string;
  readonly priority: Priority;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly arrivedAtMs: number;
  startAtMs?: number;
  endAtMs?: number;
  outputTokens: number;
  outcome: "running" | "done" | "cancelled" | "failed" | "refused";
  reason?: string;
}

function getHeader(call: Call, name: string): string {
  return String(call.headers[name] ?? "");
}

function parsePriority(call: Call): Priority {
  const text = getHeader(call, "hornbeamrill-priority");
  return text === "urgent" || text === "batch" ? text : "interactive";
}

export class EngineRun implements BatchRun {
  readonly priority: Priority;
  readonly prefillTokens: number;
  readonly outputTokens: number;
  readonly record: RunRecord;
  readonly #call: Call;
  readonly #spec: RunSpec;
  #sentChunks = 0;

  constructor(call: Call, spec: RunSpec) {
    this.#call = call;
    this.#spec = spec;
    this.priority = parsePriority(call);
    this.prefillTokens = spec.promptTokens - spec.cachedTokens;
    this.outputTokens = spec.chunks.length;
    this.record = {
      requestId: spec.requestId,
      version: spec.version,
      account: getHeader(call, "hornbeamrill-account"),
      session: getHeader(call, "hornbeamrill-session"),
      priority: this.priority,
      promptTokens: spec.promptTokens,
      cachedTokens: spec.cachedTokens,
      arrivedAtMs: Date.now(),
      outputTokens: 0,
      outcome: "running",
    };
  }

  onStart(): void {
    this.record.startAtMs = Date.now();
  }

  onProgress(tokens: number): void {
    while (this.#sentChunks < tokens) {
      const content = this.#spec.chunks[this.#sentChunks];
      this.#sendEvent({ choices: [{ index: 0, delta: { content } }] });
      this.#sentChunks += 1;
    }
    this.record.outputTokens = this.#sentChunks;
  }

  onEnd(): void {
    const { promptTokens, cachedTokens, chunks } = this.#spec;
    const lastChoice = { index: 0, delta: {}, finish_reason: "stop" };
    this.#sendEvent({ choices: [lastChoice] });
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: chunks.length,
      total_tokens: promptTokens + chunks.length,
      prompt_tokens_details: { cached_tokens: cachedTokens },
    };
    this.#sendEvent({ choices: [], usage });
    this.#finish("done");
    this.#call.response.end("data: [DONE]\n\n");
  }

  onFail(reason: string): void {
    this.#finish("failed", reason);
    const { response } = this.#call;
    if (!response.headersSent) {
      sendReply(response, { status: 500, body: { code: reason } });
      return;
    }
    const data = JSON.stringify({ error: { code: reason } });
    response.end(`event: error\ndata: ${data}\n\n`);
  }

  /** The engine's queue was full. */
  refuse(): void {
    this.#finish("refused");
  }

  /** The caller closed the connection. */
  cancel(): void {
    this.#finish("cancelled");
  }

  #finish(outcome: RunRecord["outcome"], reason?: string): void {
    if (this.record.outcome !== "running") return;
    Object.assign(this.record, { outcome, reason, endAtMs: Date.now() });
  }

  #sendEvent(event: object): void {
    const { response } = this.#call;
    if (!response.headersSent) {
      response.writeHead(200, {
        "content-type": "text/event-stream",
        "engine-start-id": this.#spec.startId,
      });
    }
    const chunk = {
      id: this.#spec.requestId,
      object: "chat.completion.chunk",
      model: this.#spec.version,
      ...event,
    };
    response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }
}
