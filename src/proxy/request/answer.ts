/** Passes an endpoint's answer on to the caller. */

import type { IncomingMessage } from "node:http";
import type { Refusal } from "../../core/errors.js";
import type { RawHeaders, Wire } from "../types.js";
import { type AttemptHead, isWholeAnswer } from "./attempt.js";
import { EventCutter, MAX_EVENT_BYTES } from "./event_stream.js";
import { SilenceTimer } from "./silence_timer.js";

/** Where the answer goes. */
export interface AnswerSink {
  writeHead(status: number, headers: RawHeaders): void;
  /** False when the caller reads too slowly; `waitDrain` tells when to go on. */
  write(data: Buffer): boolean;
  waitDrain(signal: AbortSignal): Promise<void>;
  end(data?: Buffer): void;
  /** Breaks off an answer that can't be completed. */
  destroy(): void;
  refuse(refusal: Refusal): void;
}

/** Sends an answer that is whole at hand. */
export function sendAnswer(
  sink: AnswerSink,
  wire: Wire,
  head: AttemptHead,
  body: Buffer,
): void {
  const headers = wire.createAnswerHeaders(head.headers);
  headers.push("Content-Length", String(body.length));
  sink.writeHead(head.status, headers);
  sink.end(body);
}

export interface StreamOptions {
  readonly message: IncomingMessage;
  /** Last event that the caller has. */
  readonly lastEventId?: number;
  /** Silence after which the stream counts as broken, ms. */
  readonly stallMs: number;
  /** False where nobody could go on: a silent stream may still come to life. */
  readonly mayGiveUp: () => boolean;
  /** Aborts when the caller leaves or the deadline passes. */
  readonly signal: AbortSignal;
}

export interface StreamEnd {
  readonly isComplete: boolean;
  readonly lastEventId?: number;
  readonly detail?: string;
}

/** Passes whole events on as they come; settles when the stream ends. */
export function sendStream(
  sink: AnswerSink,
  options: StreamOptions,
): Promise<StreamEnd> {
  const { message, stallMs, mayGiveUp, signal } = options;
  const cutter = new EventCutter();
  let { lastEventId } = options;
  return new Promise((resolve) => {
    let isSettled = false;
    const settle = (isComplete: boolean, detail?: string) => {
      if (isSettled) return;
      isSettled = true;
      stall.cancel();
      resolve({ isComplete, lastEventId, detail });
    };
    const startStall = () => new SilenceTimer(endStalled, stallMs);
    const endStalled = () => {
      if (mayGiveUp()) settle(false, `No event for ${stallMs} ms`);
      else stall = startStall();
    };
    let stall = startStall();
    // While the caller does not read, the endpoint's silence can't be seen.
    const pause = () => {
      stall.cancel();
      message.pause();
      void sink.waitDrain(signal).then(() => {
        if (isSettled) return;
        stall = startStall();
        message.resume();
      });
    };
    message.on("data", (chunk: Buffer) => {
      if (isSettled) return;
      const cut = cutter.push(chunk);
      if (cutter.isOversized) {
        settle(false, `An event exceeds ${MAX_EVENT_BYTES} bytes`);
        return;
      }
      if (cut.events.length === 0) return;
      if (cut.hasEvent) stall.refresh();
      lastEventId = cut.lastId ?? lastEventId;
      if (!sink.write(cut.events)) pause();
    });
    message.once("end", () => {
      if (!isWholeAnswer(message)) settle(false, "Stream ended early");
      else if (cutter.rest.length > 0)
        settle(false, "Stream ended in an event");
      else settle(true);
    });
    message.once("error", (error) => settle(false, error.message));
    message.once("close", () => settle(false, "Connection closed"));
  });
}
