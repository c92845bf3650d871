/** Sends an endpoint's answer to the caller, whole or as a stream. */

import type { IncomingMessage } from "node:http";
import type { Refusal } from "../../core/errors.js";
import type { RawHeaders, WireFormat } from "../types.js";
import { ChunkCollector } from "./chunk_collector.js";
import { EventSequence } from "./event_sequence.js";
import { EventSplitter, MAX_EVENT_BYTES } from "./event_splitter.js";
import { FloodError, isFlood } from "./flood_limit.js";
import type { AttemptHead } from "./send_attempt.js";
import { StallTimer } from "./stall_timer.js";
import { describeEarlyEnd, isWholeAnswer } from "./whole_answer.js";

/** Writes the answer to the caller. */
export interface AnswerSink {
  writeHead(status: number, headers: RawHeaders): void;
  /** False when the caller reads too slowly; then await `waitForDrain`. */
  write(data: Buffer): boolean;
  waitForDrain(signal: AbortSignal): Promise<void>;
  end(data?: Buffer): void;
  /** Closes the connection of an answer that can't be completed. */
  destroy(): void;
  refuse(refusal: Refusal): void;
}

/** Sends an answer whose body has been read whole. */
export function sendAnswer(
  sink: AnswerSink,
  wire: WireFormat,
  head: AttemptHead,
  body: Buffer,
): void {
  const headers = wire.createAnswerHeaders(head.headers);
  headers.push("Content-Length", String(body.length));
  sink.writeHead(head.status, headers);
  sink.end(body);
}

const EVENT_STREAM_TYPE = /^text\/event-stream\s*(?:;|$)/i;

/** True unless the answer names another type than that of event streams. */
export function isEventStream({ message }: AttemptHead): boolean {
  const type = message.headers["content-type"];
  return type === undefined || EVENT_STREAM_TYPE.test(type);
}

export interface StreamOptions {
  readonly message: IncomingMessage;
  /** What the caller has of the stream; new where this is its first answer. */
  readonly sequence?: EventSequence;
  /** Time without an event after which the endpoint is silent, ms. */
  readonly stallTimeoutMs: number;
  /** The endpoint is silent; called again for as long as it stays so. */
  readonly onStall: () => void;
  /** The endpoint goes on. */
  readonly onEvent?: () => void;
  /** Aborts when the answer is given up. */
  readonly abandonSignal: AbortSignal;
  /** Called once, when the endpoint goes on after the first event. */
  readonly onBegin?: () => void;
  /** Aborts when the caller leaves or the deadline passes. */
  readonly signal: AbortSignal;
}

export interface StreamEnd {
  readonly isComplete: boolean;
  readonly lastEventId?: number;
  /** The endpoint went on after it had begun the answer. */
  readonly hasBegun: boolean;
  /** The connection ended, or the stream on it, before it was complete. */
  readonly isCut: boolean;
  readonly detail?: string;
}

/** Forwards each complete event; resolves when the stream ends or breaks. */
export function sendStream(
  sink: AnswerSink,
  options: StreamOptions,
): Promise<StreamEnd> {
  const { message, stallTimeoutMs, abandonSignal, signal } = options;
  const { onStall, onEvent = () => {}, onBegin = () => {} } = options;
  const { sequence = new EventSequence() } = options;
  const splitter = new EventSplitter();
  sequence.beginAnswer();
  return new Promise((resolve) => {
    let isSettled = false;
    let readsWithEvents = 0;
    let bodyBytes = 0;
    let blockBytes = 0;
    let eventBytes = 0;
    let hasBegun = false;
    const begin = () => {
      if (!hasBegun) onBegin();
      hasBegun = true;
    };
    const settle = (
      end: Pick<StreamEnd, "detail"> & Partial<StreamEnd> = {},
    ) => {
      if (isSettled) return;
      isSettled = true;
      stallTimer.cancel();
      abandonSignal.removeEventListener("abort", abandon);
      const { isComplete = false, isCut = false, detail } = end;
      const { lastEventId } = sequence;
      resolve({ isComplete, lastEventId, hasBegun, isCut, detail });
    };
    const settleCut = (detail: string) => {
      collector.flush();
      settle({ isCut: true, detail });
    };
    const abandon = () =>
      settle({ detail: `No event for ${stallTimeoutMs} ms` });
    abandonSignal.addEventListener("abort", abandon, { once: true });
    const startStallTimer = () => new StallTimer(onStall, stallTimeoutMs);
    let stallTimer = startStallTimer();
    // While reading is paused for a slow caller, a stall can't be detected.
    const pause = () => {
      stallTimer.cancel();
      message.pause();
      void sink.waitForDrain(signal).then(() => {
        if (isSettled) return;
        stallTimer = startStallTimer();
        message.resume();
      });
    };
    const forwardEvents = () => {
      if (isSettled) return;
      const blocks = splitter.takeEvents();
      if (splitter.isOversized) {
        settle({ detail: `An event exceeds ${MAX_EVENT_BYTES} bytes` });
        return;
      }
      if (blocks.length === 0) return;
      const { events, fault, ...accepted } = sequence.accept(blocks);
      blockBytes += events.length;
      eventBytes += accepted.eventBytes;
      if (accepted.eventBytes > 0) {
        stallTimer.refresh();
        onEvent();
        readsWithEvents++;
        if (readsWithEvents > 1) begin();
      }
      const isDrained = events.length === 0 || sink.write(events);
      if (fault !== undefined) settle({ detail: fault });
      else if (isFlood(blockBytes, eventBytes))
        settle({
          detail: `Only ${eventBytes} of ${blockBytes} bytes are events`,
        });
      else if (!isDrained) pause();
    };
    const collector = new ChunkCollector(forwardEvents);
    message.on("data", (chunk: Buffer) => {
      if (isSettled) return;
      bodyBytes += chunk.length;
      splitter.append(chunk);
      collector.add(chunk.length);
    });
    message.once("end", () => {
      collector.flush();
      if (!isWholeAnswer(message, bodyBytes))
        settleCut(describeEarlyEnd(message));
      else if (splitter.incompleteEvent.length > 0)
        settleCut("Stream ended in an event");
      else if (!sequence.mayEnd)
        settle({ detail: "The answer that resumes the stream has no event" });
      else {
        begin();
        settle({ isComplete: true });
      }
    });
    message.once("error", (error) => {
      if (error instanceof FloodError) settle({ detail: error.message });
      else settleCut(error.message);
    });
    message.once("close", () => settleCut("Connection closed"));
    if (message.destroyed) settleCut("Connection closed");
  });
}
