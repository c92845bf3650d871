/** Calls of client accounts to an entry, each with a check of its answer. */

import { checkAnswer } from "../standins/answers.js";
import { CallBrokenError, callHttp, type HttpAnswer } from "./http_calls.js";

export type CallerOutcome =
  | {
      readonly kind: "answered";
      readonly requestId: string;
      readonly version: string;
      readonly sessionToken?: string;
      readonly sessionMoved?: string;
      /** Configuration revision of the entry when it answered. */
      readonly revision: number;
      readonly text: string;
      /** False if the answer is incomplete, changed or of another request. */
      readonly isWhole: boolean;
    }
  | {
      readonly kind: "refused";
      readonly requestId: string;
      readonly code: string;
      /** Whether the request ran: "yes", "no" or "unknown". */
      readonly ran: string;
      readonly retryAfter: string | undefined;
    }
  /** The connection closed without an answer, as when the entry ends. */
  | { readonly kind: "broken"; readonly detail: string };

export interface ChatCall {
  readonly port: number;
  readonly apiKey: string;
  readonly requestClass: string;
  readonly model?: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly session?: string;
  readonly sessionToken?: string;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
}

export interface ServiceCall {
  readonly port: number;
  readonly apiKey: string;
  readonly service: string;
  readonly path: string;
  readonly body: unknown;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
}

/** Above any deadline, so that a request without an answer counts as lost. */
const CALL_TIMEOUT_MS = 30_000;
const FIRST_ERROR_STATUS = 400;

/** True if the engine stand-in's text is unchanged and of this request. */
export function isWholeAnswer(text: string, requestId: string): boolean {
  const check = checkAnswer(text);
  return check.isWhole && check.requestId === requestId;
}

function getHeader(answer: HttpAnswer, name: string): string | undefined {
  const value = answer.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function parseRefusal(answer: HttpAnswer): CallerOutcome {
  const body = JSON.parse(answer.text);
  return {
    kind: "refused",
    requestId: body.requestId,
    code: body.code,
    ran: body.ran,
    retryAfter: getHeader(answer, "retry-after"),
  };
}

interface ParsedStream {
  readonly text: string;
  readonly isDone: boolean;
  readonly refusal?: { code: string; ran: string; requestId: string };
}

function parseEventStream(text: string): ParsedStream {
  const pieces: string[] = [];
  let isDone = false;
  for (const event of text.split("\n\n")) {
    const data = /^data: (.*)$/m.exec(event)?.[1];
    if (data === undefined) continue;
    if (event.startsWith("event: error")) {
      return { text: pieces.join(""), isDone, refusal: JSON.parse(data) };
    }
    if (data === "[DONE]") isDone = true;
    else pieces.push(JSON.parse(data).choices[0]?.delta.content ?? "");
  }
  return { text: pieces.join(""), isDone };
}

function createAnsweredOutcome(
  answer: HttpAnswer,
  text: string,
  isWhole: boolean,
): CallerOutcome {
  return {
    kind: "answered",
    requestId: getHeader(answer, "hornbeamrill-request") ?? "",
    version: getHeader(answer, "hornbeamrill-version") ?? "",
    sessionToken: getHeader(answer, "hornbeamrill-session-token"),
    sessionMoved: getHeader(answer, "hornbeamrill-session-moved"),
    revision: Number(getHeader(answer, "hornbeamrill-revision") ?? 0),
    text,
    isWhole,
  };
}

function parseChatAnswer(answer: HttpAnswer, stream: boolean): CallerOutcome {
  if (answer.status >= FIRST_ERROR_STATUS) return parseRefusal(answer);
  const requestId = getHeader(answer, "hornbeamrill-request") ?? "";
  if (!stream) {
    const text = JSON.parse(answer.text).choices[0].message.content;
    return createAnsweredOutcome(answer, text, isWholeAnswer(text, requestId));
  }
  const { text, isDone, refusal } = parseEventStream(answer.text);
  if (refusal !== undefined) {
    const { code, ran } = refusal;
    return { kind: "refused", requestId, code, ran, retryAfter: "in event" };
  }
  return createAnsweredOutcome(
    answer,
    text,
    isDone && isWholeAnswer(text, requestId),
  );
}

/** Reports a broken connection as an outcome. */
async function callReportingBreaks(
  call: () => Promise<CallerOutcome>,
): Promise<CallerOutcome> {
  try {
    return await call();
  } catch (error) {
    if (!(error instanceof CallBrokenError)) throw error;
    return { kind: "broken", detail: error.message };
  }
}

/** Sends a chat completion and checks the answer. */
export function sendChat(call: ChatCall): Promise<CallerOutcome> {
  const { session, sessionToken, deadlineMs } = call;
  return callReportingBreaks(async () => {
    const answer = await callHttp({
      port: call.port,
      method: "POST",
      path: "/v1/chat/completions",
      timeoutMs: CALL_TIMEOUT_MS,
      signal: call.signal,
      headers: {
        authorization: `Bearer ${call.apiKey}`,
        "hornbeamrill-class": call.requestClass,
        ...(session && { "hornbeamrill-session": session }),
        ...(sessionToken && { "hornbeamrill-session-token": sessionToken }),
        ...(deadlineMs && { "hornbeamrill-deadline-ms": String(deadlineMs) }),
      },
      body: {
        model: call.model ?? "auto",
        stream: call.stream,
        max_tokens: call.maxTokens,
        messages: [{ role: "user", content: call.prompt }],
      },
    });
    return parseChatAnswer(answer, call.stream);
  });
}

/** Calls a plain service through the entry. */
export function sendServiceCall(call: ServiceCall): Promise<CallerOutcome> {
  const { idempotencyKey, deadlineMs } = call;
  return callReportingBreaks(async () => {
    const answer = await callHttp({
      port: call.port,
      method: "POST",
      path: `/services/${call.service}/${call.path}`,
      timeoutMs: CALL_TIMEOUT_MS,
      signal: call.signal,
      headers: {
        authorization: `Bearer ${call.apiKey}`,
        ...(idempotencyKey && { "idempotency-key": idempotencyKey }),
        ...(deadlineMs && { "hornbeamrill-deadline-ms": String(deadlineMs) }),
      },
      body: call.body,
    });
    if (answer.status >= FIRST_ERROR_STATUS) return parseRefusal(answer);
    // The stand-in returns the id and the idempotency key of the run.
    const body = JSON.parse(answer.text);
    // With a key, the answer may be that of an earlier request with this key.
    const isWhole =
      idempotencyKey === undefined
        ? body.requestId === getHeader(answer, "hornbeamrill-request")
        : body.idempotencyKey === idempotencyKey;
    return createAnsweredOutcome(answer, answer.text, isWhole);
  });
}
