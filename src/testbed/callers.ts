/** Calls of client accounts to an entry, with a check of each answer. */

import { checkAnswer } from "../standins/answers.js";
import { CallBrokenError, callHttp, type HttpAnswer } from "./http_calls.js";

export type CallerOutcome =
  | {
      readonly kind: "answered";
      readonly requestId: string;
      readonly version: string;
      readonly sessionToken?: string;
      readonly sessionMoved?: string;
      /** Revision of the entry when it answered. */
      readonly revision: number;
      readonly text: string;
      /** False when the answer is cut, changed or of another request. */
      readonly isWhole: boolean;
    }
  | {
      readonly kind: "refused";
      readonly requestId: string;
      readonly code: string;
      readonly ran: string;
      readonly retryAfter: string | undefined;
    }
  /** The connection broke, as when the entry's process ends. */
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

/** Above any deadline, so that a request that gets no answer shows as lost. */
const CALL_TIMEOUT_MS = 30_000;
const FIRST_ERROR_STATUS = 400;

/** Checks the engine stand-in's text: own request, whole, unchanged. */
export function isWholeAnswer(text: string, requestId: string): boolean {
  const check = checkAnswer(text);
  return check.whole && check.requestId === requestId;
}

function getHeader(answer: HttpAnswer, name: string): string | undefined {
  const value = answer.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function parseProblem(answer: HttpAnswer): CallerOutcome {
  const body = JSON.parse(answer.text);
  return {
    kind: "refused",
    requestId: body.requestId,
    code: body.code,
    ran: body.ran,
    retryAfter: getHeader(answer, "retry-after"),
  };
}

interface StreamText {
  readonly text: string;
  readonly isDone: boolean;
  readonly problem?: { code: string; ran: string; requestId: string };
}

function readEventStream(text: string): StreamText {
  const parts: string[] = [];
  let isDone = false;
  for (const event of text.split("\n\n")) {
    const data = /^data: (.*)$/m.exec(event)?.[1];
    if (data === undefined) continue;
    if (event.startsWith("event: error")) {
      return { text: parts.join(""), isDone, problem: JSON.parse(data) };
    }
    if (data === "[DONE]") isDone = true;
    else parts.push(JSON.parse(data).choices[0]?.delta.content ?? "");
  }
  return { text: parts.join(""), isDone };
}

function createAnswered(
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
  if (answer.status >= FIRST_ERROR_STATUS) return parseProblem(answer);
  const requestId = getHeader(answer, "hornbeamrill-request") ?? "";
  if (!stream) {
    const text = JSON.parse(answer.text).choices[0].message.content;
    return createAnswered(answer, text, isWholeAnswer(text, requestId));
  }
  const { text, isDone, problem } = readEventStream(answer.text);
  if (problem !== undefined) {
    const { code, ran } = problem;
    return { kind: "refused", requestId, code, ran, retryAfter: "in event" };
  }
  return createAnswered(answer, text, isDone && isWholeAnswer(text, requestId));
}

async function callGuarded(
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
  return callGuarded(async () => {
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
  return callGuarded(async () => {
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
    if (answer.status >= FIRST_ERROR_STATUS) return parseProblem(answer);
    // The stand-in names the request that ran and its key.
    const body = JSON.parse(answer.text);
    // An order's answer may be that of an earlier request with its key.
    const isWhole =
      idempotencyKey === undefined
        ? body.requestId === getHeader(answer, "hornbeamrill-request")
        : body.idempotencyKey === idempotencyKey;
    return createAnswered(answer, answer.text, isWhole);
  });
}
