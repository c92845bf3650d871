/**
 * Writes answers to callers. `finish` is called only after the receipt is
 * saved, so a caller never has a complete answer without a receipt.
 */

import type { ServerResponse } from "node:http";
import { createProblemDetails, sendRefusal } from "../adapters/index.js";
import type { Refusal } from "../core/index.js";
import type { End } from "../schema/index.js";

/** Facts about an answer that its headers and body tell the caller. */
export interface AnswerInfo {
  readonly requestId: string;
  readonly version: string;
  readonly revision: number;
  readonly sessionToken?: string;
  readonly sessionMoveReason?: string;
}

/** Writes one answer, chunk by chunk. */
export interface AnswerWriter {
  /** Sends a chunk at once; only for attempts whose answer is not judged. */
  write(info: AnswerInfo, chunk: Uint8Array): void;
  /** Ends the answer; `unsent` are the chunks that were not sent yet. */
  finish(info: AnswerInfo, end: End, unsent: readonly Uint8Array[]): void;
  /** Ends the request without a complete answer. */
  refuse(requestId: string, refusal: Refusal): void;
}

function createAnswerHeaders(info: AnswerInfo): Record<string, string> {
  return {
    "hornbeamrill-request": info.requestId,
    "hornbeamrill-revision": String(info.revision),
    ...(info.version === "" ? {} : { "hornbeamrill-version": info.version }),
    ...(info.sessionToken === undefined
      ? {}
      : { "hornbeamrill-session-token": info.sessionToken }),
    ...(info.sessionMoveReason === undefined
      ? {}
      : { "hornbeamrill-session-moved": info.sessionMoveReason }),
  };
}

function createUsage(end: End) {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.outputTokens,
    total_tokens: end.promptTokens + end.outputTokens,
  };
}

function createCompletionId(info: AnswerInfo): string {
  return `chatcmpl-${info.requestId}`;
}

/** Writes a chat completion as one JSON document. */
export class JsonAnswerWriter implements AnswerWriter {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Sends nothing: the runner keeps a JSON answer's chunks for `finish`. */
  write(): void {}

  finish(info: AnswerInfo, end: End, unsent: readonly Uint8Array[]): void {
    const content = Buffer.concat(unsent).toString("utf8");
    const body = `${JSON.stringify({
      id: createCompletionId(info),
      object: "chat.completion",
      created: Math.floor(Date.now() / 1_000),
      model: info.version,
      choices: [
        {
          index: 0,
          message: { role: "assistant", content },
          finish_reason: "stop",
        },
      ],
      usage: createUsage(end),
    })}\n`;
    this.#response.writeHead(200, {
      ...createAnswerHeaders(info),
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(body)),
    });
    this.#response.end(body);
  }

  refuse(requestId: string, refusal: Refusal): void {
    sendRefusal(this.#response, refusal, requestId);
  }
}

/** Writes a chat completion as server-sent events. */
export class EventStreamAnswerWriter implements AnswerWriter {
  readonly #response: ServerResponse;
  /** Joins the bytes of a character that is split between two chunks. */
  readonly #decoder = new TextDecoder("utf-8");

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  write(info: AnswerInfo, chunk: Uint8Array): void {
    this.#writeHead(info);
    const content = this.#decoder.decode(chunk, { stream: true });
    if (content !== "") this.#sendEvent(info, { delta: { content } });
  }

  finish(info: AnswerInfo, end: End, unsent: readonly Uint8Array[]): void {
    for (const chunk of unsent) this.write(info, chunk);
    this.#writeHead(info);
    this.#sendEvent(
      info,
      { delta: {}, finish_reason: "stop" },
      { usage: createUsage(end) },
    );
    this.#response.end("data: [DONE]\n\n");
  }

  refuse(requestId: string, refusal: Refusal): void {
    if (!this.#response.headersSent) {
      sendRefusal(this.#response, refusal, requestId);
      return;
    }
    const problem = JSON.stringify(createProblemDetails(refusal, requestId));
    this.#response.end(`event: error\ndata: ${problem}\n\n`);
  }

  #writeHead(info: AnswerInfo): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      ...createAnswerHeaders(info),
      "content-type": "text/event-stream",
      "cache-control": "no-store",
    });
  }

  #sendEvent(info: AnswerInfo, choice: object, otherFields: object = {}): void {
    const event = {
      id: createCompletionId(info),
      object: "chat.completion.chunk",
      created: Math.floor(Date.now() / 1_000),
      model: info.version,
      choices: [{ index: 0, finish_reason: null, ...choice }],
      ...otherFields,
    };
    this.#response.write(`data: ${JSON.stringify(event)}\n\n`);
  }
}

/** Passes the answer of a plain service on as it is. */
export class ServiceAnswerWriter implements AnswerWriter {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  write(): void {}

  finish(info: AnswerInfo, end: End): void {
    this.#response.writeHead(end.status, {
      ...createAnswerHeaders(info),
      "content-type": end.contentType || "application/octet-stream",
      "content-length": String(end.body.length),
    });
    this.#response.end(end.body);
  }

  refuse(requestId: string, refusal: Refusal): void {
    sendRefusal(this.#response, refusal, requestId);
  }
}
