/**
 * Sends one attempt of a request to an endpoint over HTTP. A failure tells
 * whether the request may have run, and an answer counts only if it is signed
 * and carries the id of this request.
 */

import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import type { Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { findUndecodedCoding } from "../../adapters/answer_end.js";
import {
  BODY_REFUSAL,
  type BodyRefusal,
  ChunkMeter,
  type HeldMemory,
  MAX_ANSWER_BYTES,
  MAX_DISCARDED_BYTES,
} from "../../adapters/received/index.js";
import { hashIfLong } from "../../core/canonical.js";
import type { AnswerFacts, RawHeaders, WireFormat } from "../types.js";
import { openAnswerBody, startPauseCheck } from "./answer_body.js";
import { FloodError, startFloodCheck } from "./flood_limit.js";
import { StallTimer } from "./stall_timer.js";
import {
  describeEarlyEnd,
  isWholeAnswer,
  MIN_ERROR_STATUS,
  startAnswerCheck,
} from "./whole_answer.js";

export const ATTEMPT_FAILURE = {
  /** Nothing was sent. */
  notSent: "not-sent",
  /** Nothing was sent, as the endpoint stopped accepting requests meanwhile. */
  withheld: "withheld",
  /** The endpoint answered that it did not run the request. */
  notRun: "not-run",
  /** The request may have run. */
  unknown: "unknown",
} as const;
export type AttemptFailureKind =
  (typeof ATTEMPT_FAILURE)[keyof typeof ATTEMPT_FAILURE];

/**
 * Timeout of a new connection, ms: a round trip takes a few, and a host that
 * is gone or cut off never answers.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Time limit to read a refusal's body, ms. */
const DISCARD_TIMEOUT_MS = 500;
/** Statuses of final answers; others announce one or mean nothing. */
const FINAL_STATUS = { min: 200, max: 599 } as const;
/** Codes of errors by which the other side has ended a connection. */
const CUT_CODES = ["ECONNRESET", "EPIPE"];
/** Most 1xx responses before an answer; endpoints send one at most. */
const MAX_INFORMATIONAL_HEADS = 8;

export interface AttemptFailure {
  readonly kind: AttemptFailureKind;
  readonly detail: string;
  /** Id of the request that the answer names. */
  readonly answerTo?: string;
  /** Its connection had carried another request before. */
  readonly isConnectionReused?: boolean;
  /** The other side ended the connection before the answer was complete. */
  readonly isCut?: boolean;
  /** The head of the answer had come. */
  readonly hasHead?: boolean;
  /** The entry itself had no memory for the answer. */
  readonly isOwnLack?: boolean;
}

export interface AttemptHead {
  readonly status: number;
  readonly facts: AnswerFacts;
  readonly headers: RawHeaders;
  readonly message: IncomingMessage;
}

/** False where the endpoint did not do what the caller asked for. */
export function isSuccess({ status }: Pick<AttemptHead, "status">): boolean {
  return status < 300;
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
  readonly wire: WireFormat;
  /** Checked once there is a connection, as the wait for one may be long. */
  readonly maySend: () => boolean;
  /** Called with the head of this request's answer, signed or not. */
  readonly onHead: (status: number, facts: AnswerFacts) => void;
  /** Aborts the attempt and its connection, also after the head. */
  readonly signal: AbortSignal;
}

/** Sends the request and waits for the head of its answer. */
export function sendAttempt(
  options: AttemptOptions,
): Promise<Result<AttemptHead, AttemptFailure>> {
  const { wire, requestId, body, signal, maySend, onHead } = options;
  return new Promise((resolve) => {
    let isSent = false;
    let isConnectionReused = false;
    const markSentIfAllowed = () => {
      if (maySend()) isSent = true;
      else withhold("The endpoint takes no requests now, so it was not sent");
    };
    const withhold = (detail: string) => {
      fail(ATTEMPT_FAILURE.withheld, detail);
      outgoing.destroy();
    };
    if (signal.aborted) {
      const detail = "The attempt was cancelled";
      resolve(err({ kind: ATTEMPT_FAILURE.notSent, detail }));
      return;
    }
    const opened = openRequest(options);
    if (opened.isErr()) {
      // The endpoint is not at fault, so it must not count as unreachable.
      resolve(err({ kind: ATTEMPT_FAILURE.withheld, detail: opened.error }));
      return;
    }
    const outgoing = opened.value;
    const fail = (
      kind: AttemptFailureKind,
      detail: string,
      fields: Pick<AttemptFailure, "answerTo" | "isCut"> = {},
    ) => {
      resolve(err({ kind, detail, isConnectionReused, ...fields }));
    };
    outgoing.on("socket", (socket) => {
      socket.setNoDelay(true);
      // Not `reusedSocket`, which is false for a request that waited for it.
      isConnectionReused = carriedRequestIds.has(socket);
      if (!addCarriedRequest(socket, requestId)) {
        outgoing.destroy();
        resolve(sendAttempt(options));
        return;
      }
      startFloodCheck(outgoing, socket);
      if (!socket.connecting) {
        markSentIfAllowed();
        return;
      }
      const timer = setTimeout(() => {
        const ms = CONNECT_TIMEOUT_MS;
        outgoing.destroy(new Error(`No connection within ${ms} ms`));
      }, CONNECT_TIMEOUT_MS);
      socket.once("connect", () => {
        clearTimeout(timer);
        markSentIfAllowed();
      });
      socket.once("close", () => clearTimeout(timer));
    });
    const failUnanswered = (detail: string, isCut = false) => {
      const { notSent, unknown } = ATTEMPT_FAILURE;
      fail(isSent ? unknown : notSent, detail, { isCut: isSent && isCut });
    };
    outgoing.on("error", (error: NodeJS.ErrnoException) => {
      const isCut = !signal.aborted && CUT_CODES.includes(error.code ?? "");
      failUnanswered(error.message, isCut);
    });
    // Node reports no error when an endpoint switches protocols.
    outgoing.once("close", () => failUnanswered("Closed without an answer"));
    // While it waits for a connection, an abort is reported only with that.
    const failWaiting = () => {
      if (outgoing.socket === null) failUnanswered("The attempt was cancelled");
    };
    signal.addEventListener("abort", failWaiting, { once: true });
    outgoing.once("close", () =>
      signal.removeEventListener("abort", failWaiting),
    );
    let informationalHeads = 0;
    outgoing.on("information", () => {
      informationalHeads++;
      if (informationalHeads <= MAX_INFORMATIONAL_HEADS) return;
      outgoing.destroy(new Error("Informational heads without an answer"));
    });
    outgoing.on("response", (message) => {
      const headers = message.rawHeaders;
      const facts = wire.parseAnswer(headers);
      const { requestId: answerTo = "none" } = facts;
      // Nothing of an answer to another request says anything about this one.
      if (facts.requestId !== requestId) {
        outgoing.destroy();
        const detail = `Answer is for request "${answerTo}"`;
        fail(ATTEMPT_FAILURE.unknown, detail, { answerTo });
        return;
      }
      const status = message.statusCode ?? 0;
      // Nothing else in such a head can be relied on, not even a refusal.
      if (status < FINAL_STATUS.min || status > FINAL_STATUS.max) {
        outgoing.destroy();
        const detail = `Status ${status} is none of a final answer`;
        fail(ATTEMPT_FAILURE.unknown, detail, { answerTo });
        return;
      }
      onHead(status, facts);
      if (facts.isNotRun && status >= MIN_ERROR_STATUS) {
        if (outgoing.writableFinished) ignoreAnswerBody(message);
        else outgoing.destroy();
        const detail = `Status ${status}, not run`;
        fail(ATTEMPT_FAILURE.notRun, detail, { answerTo });
        return;
      }
      const detail = findInvalidity(message, facts);
      if (detail !== undefined) {
        outgoing.destroy();
        fail(ATTEMPT_FAILURE.unknown, detail, { answerTo });
        return;
      }
      startAnswerCheck(outgoing, message);
      resolve(ok({ status, facts, headers, message }));
    });
    outgoing.end(body);
  });
}

/** Node throws on a header value, path or port that can't be sent. */
function openRequest(options: AttemptOptions): Result<ClientRequest, string> {
  const { address: host, port, method, path, headers, agent, signal } = options;
  try {
    return ok(request({ host, port, method, path, headers, agent, signal }));
  } catch (error) {
    return err(`The request can't be sent: ${String(error)}`);
  }
}

/** Says why the answer to this request can't be accepted. */
function findInvalidity(
  message: IncomingMessage,
  facts: AnswerFacts,
): string | undefined {
  if (facts.isNotRun) return "Answer is a success that did not run";
  if (!facts.isSigned) return "Answer has no signature of the endpoint";
  const encoding = message.headers["content-encoding"];
  if (encoding !== undefined) return `Answer is encoded as "${encoding}"`;
  const coding = findUndecodedCoding(message);
  if (coding !== undefined) return `Answer is encoded as "${coding}"`;
  return undefined;
}

/** Ids of the latest requests of each connection, oldest first. */
const carriedRequestIds = new WeakMap<Socket, Set<string>>();
/** Callers choose the ids; of longer ones the hash is kept. */
const MAX_CARRIED_ID_LENGTH = 64;
/** More than one caller's attempts can take turns with on a connection. */
const MAX_CARRIED_IDS = 100;

/**
 * Adds a request to those of a connection. False if it has carried one
 * with this id before: an answer left over from that would look like this one's.
 */
function addCarriedRequest(socket: Socket, requestId: string): boolean {
  const ids = carriedRequestIds.get(socket) ?? new Set();
  carriedRequestIds.set(socket, ids);
  const id = hashIfLong(requestId, MAX_CARRIED_ID_LENGTH);
  if (ids.has(id)) return false;
  ids.add(id);
  const [oldest = ""] = ids;
  if (ids.size > MAX_CARRIED_IDS) ids.delete(oldest);
  return true;
}

/** Discards a small body to keep its connection; closes it otherwise. */
function ignoreAnswerBody(message: IncomingMessage): void {
  let size = 0;
  const meter = new ChunkMeter();
  const timer = setTimeout(() => message.destroy(), DISCARD_TIMEOUT_MS);
  message.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_DISCARDED_BYTES || !meter.take(chunk)) message.destroy();
  });
  // The attempt has ended, so errors of its connection don't matter.
  message.on("error", () => undefined);
  message.once("close", () => clearTimeout(timer));
}

const REFUSAL_DETAILS: Readonly<Record<BodyRefusal, string>> = {
  [BODY_REFUSAL.tooLarge]: `Answer exceeds ${MAX_ANSWER_BYTES} bytes`,
  [BODY_REFUSAL.noMemory]: "No memory for the answer",
  [BODY_REFUSAL.smallChunks]: "Answer comes in too many small chunks",
};

export interface ReadOptions {
  /** Holds the answer until the request ends. */
  readonly memory: HeldMemory;
  /** Pause after which the endpoint is silent, ms. */
  readonly stallTimeoutMs?: number;
  /** The endpoint is silent; called again for as long as it stays so. */
  readonly onStall?: () => void;
  /** The endpoint goes on. */
  readonly onData?: () => void;
  /** Aborts when the answer is given up. */
  readonly abandonSignal?: AbortSignal;
}

/**
 * Reads a whole body. Fails when it ends early, is refused as it needs too
 * much, or is given up.
 */
export function readAnswerBody(
  message: IncomingMessage,
  options: ReadOptions,
): Promise<Result<Buffer, AttemptFailure>> {
  const { memory, stallTimeoutMs, onData, abandonSignal } = options;
  const { onStall = () => {} } = options;
  return new Promise((resolve) => {
    const body = openAnswerBody(message, memory);
    let isCut = true;
    let isWhole = false;
    let isOwnLack = false;
    const fail = (detail: string) => {
      if (isWhole) return;
      body.discard();
      resolve(
        err({
          kind: ATTEMPT_FAILURE.unknown,
          detail,
          isCut,
          hasHead: true,
          isOwnLack,
        }),
      );
    };
    const abandon = (detail: string) => {
      isCut = false;
      message.destroy(new Error(detail));
    };
    startPauseCheck(message, body, memory, abandon);
    const abandonStalled = () =>
      abandon(`Nothing of the answer for ${stallTimeoutMs} ms`);
    abandonSignal?.addEventListener("abort", abandonStalled, { once: true });
    const stallTimer = new StallTimer(onStall, stallTimeoutMs);
    message.once("close", () => {
      stallTimer.cancel();
      abandonSignal?.removeEventListener("abort", abandonStalled);
    });
    message.on("data", (chunk: Buffer) => {
      if (message.destroyed) return;
      stallTimer.refresh();
      onData?.();
      const refusal = body.add(chunk);
      if (refusal === undefined) return;
      isOwnLack = refusal === BODY_REFUSAL.noMemory;
      abandon(REFUSAL_DETAILS[refusal]);
    });
    message.once("end", () => {
      isWhole = isWholeAnswer(message, body.sizeBytes);
      if (isWhole) resolve(ok(body.complete()));
      else fail(describeEarlyEnd(message));
    });
    message.once("error", (error) => {
      if (error instanceof FloodError) isCut = false;
      fail(error.message);
    });
    message.once("close", () => fail("Connection closed within the answer"));
    if (message.destroyed) fail("Connection closed before the answer was read");
  });
}
