/**
 * One attempt at an endpoint over HTTP. Its failure says whether the request
 * was sent, and only an answer to this very request counts.
 */

import { type Agent, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import type { AnswerFacts, RawHeaders, Wire } from "../types.js";
import { SilenceTimer } from "./silence_timer.js";

export const ATTEMPT_FAILURE = {
  /** Nothing left this host. */
  notSent: "not-sent",
  /** Nothing left this host, since the endpoint had closed meanwhile. */
  withheld: "withheld",
  /** The endpoint says that it did not run the request. */
  notRun: "not-run",
  /** It may have run. */
  unknown: "unknown",
} as const;
export type AttemptFailureKind =
  (typeof ATTEMPT_FAILURE)[keyof typeof ATTEMPT_FAILURE];

/**
 * Time for a new connection, ms: a round trip takes a few, and a host that is
 * gone or cut off never answers.
 */
const CONNECT_TIMEOUT_MS = 300;
/**
 * Largest answer that is read whole, bytes; plain services send some
 * kilobytes, and a small host may hold dozens of answers at once.
 */
const MAX_ANSWER_BYTES = 1_048_576;
/** Bytes of a refused attempt's body that are read to keep its connection. */
const MAX_DISCARDED_BYTES = 65_536;
/** Time for the end of a refused attempt's body, ms. */
const DISCARD_TIMEOUT_MS = 500;
/** Informational heads before an answer; endpoints send one at most. */
const MAX_INFORMATIONAL = 8;

export interface AttemptFailure {
  readonly kind: AttemptFailureKind;
  readonly detail: string;
  readonly facts?: AnswerFacts;
}

export interface AttemptHead {
  readonly status: number;
  readonly facts: AnswerFacts;
  readonly headers: RawHeaders;
  readonly message: IncomingMessage;
}

export interface AttemptOptions {
  readonly address: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly requestId: string;
  readonly agent: Agent;
  readonly wire: Wire;
  /** Asked once a connection is at hand: the wait for one may be long. */
  readonly isOpen: () => boolean;
  /** Told of each head that comes from the endpoint. */
  readonly onHead: (status: number, facts: AnswerFacts) => void;
  /** Ends the attempt and its connection, also after the head. */
  readonly signal: AbortSignal;
}

/** Sends the request and waits for the head of its answer. */
export function startAttempt(
  options: AttemptOptions,
): Promise<Result<AttemptHead, AttemptFailure>> {
  const { wire, requestId, body, signal, isOpen, onHead } = options;
  return new Promise((resolve) => {
    let isSent = false;
    const startSending = () => {
      if (isOpen()) isSent = true;
      else withhold();
    };
    const withhold = () => {
      fail(ATTEMPT_FAILURE.withheld, "The endpoint closed before the request");
      outgoing.destroy();
    };
    const fail = (kind: AttemptFailureKind, detail: string) =>
      resolve(err({ kind, detail }));
    if (signal.aborted) {
      fail(ATTEMPT_FAILURE.notSent, "The attempt was cancelled");
      return;
    }
    const outgoing = request({
      host: options.address,
      port: options.port,
      method: options.method,
      path: options.path,
      headers: options.headers,
      agent: options.agent,
      signal,
    });
    outgoing.on("socket", (socket) => {
      socket.setNoDelay(true);
      if (!socket.connecting) {
        startSending();
        return;
      }
      const timer = setTimeout(() => {
        const ms = CONNECT_TIMEOUT_MS;
        outgoing.destroy(new Error(`No connection within ${ms} ms`));
      }, CONNECT_TIMEOUT_MS);
      socket.once("connect", () => {
        clearTimeout(timer);
        startSending();
      });
      socket.once("close", () => clearTimeout(timer));
    });
    outgoing.on("error", (error) => {
      const { notSent, unknown } = ATTEMPT_FAILURE;
      fail(isSent ? unknown : notSent, error.message);
    });
    let informational = 0;
    outgoing.on("information", () => {
      informational++;
      if (informational <= MAX_INFORMATIONAL) return;
      outgoing.destroy(new Error("Informational heads without an answer"));
    });
    outgoing.on("response", (message) => {
      const headers = message.rawHeaders;
      const facts = wire.parseAnswer(headers);
      onHead(message.statusCode ?? 0, facts);
      if (facts.isNotRun) {
        ignoreAnswerBody(message);
        const detail = `Status ${message.statusCode}, not run`;
        resolve(err({ kind: ATTEMPT_FAILURE.notRun, detail, facts }));
        return;
      }
      const detail = findMismatch(message, facts, requestId);
      if (detail !== undefined) {
        outgoing.destroy();
        resolve(err({ kind: ATTEMPT_FAILURE.unknown, detail, facts }));
        return;
      }
      if (!hasLength(message)) checkResetAtEnd(message.socket);
      const status = message.statusCode ?? 0;
      resolve(ok({ status, facts, headers, message }));
    });
    outgoing.end(body);
  });
}

/** Why an answer can't be the one to this request. */
function findMismatch(
  message: IncomingMessage,
  facts: AnswerFacts,
  requestId: string,
): string | undefined {
  if (facts.requestId !== requestId) {
    return `Answer is for request "${facts.requestId ?? ""}"`;
  }
  if (!facts.isSigned) return "Answer has no signature of the endpoint";
  const encoding = message.headers["content-encoding"];
  if (encoding !== undefined) return `Answer is encoded as "${encoding}"`;
  return undefined;
}

function hasLength({ headers }: IncomingMessage): boolean {
  return (
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined
  );
}

/** Ignored by HTTP ahead of a request. */
const EMPTY_LINE = "\r\n";

/**
 * Makes a reset show at the end of an answer that ends with its connection.
 * Where data and a reset arrive together, libuv reports the end of the stream
 * and never reads the error; a write fails then, and only then.
 */
function checkResetAtEnd(socket: Socket): void {
  socket.allowHalfOpen = true;
  socket.prependOnceListener("end", () => socket.write(EMPTY_LINE));
}

/**
 * True when an answer that ended is whole. An answer without a length ends
 * with its connection, and a reset counts as such an end to the parser.
 */
export function isWholeAnswer(message: IncomingMessage): boolean {
  return message.complete && !message.socket?.errored;
}

/** Reads past a body that nobody needs, or closes its connection. */
function ignoreAnswerBody(message: IncomingMessage): void {
  let size = 0;
  const timer = setTimeout(() => message.destroy(), DISCARD_TIMEOUT_MS);
  message.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_DISCARDED_BYTES) message.destroy();
  });
  // The attempt is over; how its connection ends is of no interest.
  message.on("error", () => undefined);
  message.once("close", () => clearTimeout(timer));
}

/**
 * Reads a whole body; a failure when it ends early, exceeds its limit, or
 * pauses for `stallMs` where that is given.
 */
export function readAnswerBody(
  message: IncomingMessage,
  stallMs?: number,
): Promise<Result<Buffer, AttemptFailure>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const fail = (detail: string) =>
      resolve(err({ kind: ATTEMPT_FAILURE.unknown, detail }));
    const breakOff = () =>
      message.destroy(new Error(`Nothing of the answer for ${stallMs} ms`));
    const stall =
      stallMs === undefined ? undefined : new SilenceTimer(breakOff, stallMs);
    message.once("close", () => stall?.cancel());
    let size = 0;
    message.on("data", (chunk: Buffer) => {
      stall?.refresh();
      size += chunk.length;
      if (size <= MAX_ANSWER_BYTES) chunks.push(chunk);
      else
        message.destroy(new Error(`Answer exceeds ${MAX_ANSWER_BYTES} bytes`));
    });
    message.once("end", () => {
      if (isWholeAnswer(message)) resolve(ok(Buffer.concat(chunks)));
      else fail("Answer ended early");
    });
    message.once("error", (error) => fail(error.message));
    message.once("close", () => fail("Connection closed in the answer"));
  });
}
