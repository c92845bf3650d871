/**
 * Translates the headers of requests and answers. All names of headers that
 * only this platform has are in this file.
 */

import { parseBearerToken } from "../adapters/http_server.js";
import { hashIfLong } from "../core/canonical.js";
import type {
  AnswerFacts,
  AttemptFacts,
  EndpointLoad,
  PromptPart,
  RawHeaders,
  RequestFacts,
  WireFormat,
} from "../proxy/index.js";

const MS_PER_SECOND = 1_000;
/** Seconds, possibly with a fraction. */
const SECONDS_PATTERN = /^\d{1,9}(?:\.\d{1,9})?$/;

/** A number without sign or exponent. */
const DECIMAL_PATTERN = /^\d{1,15}(?:\.\d{1,20})?$/;

/** Headers that concern one connection only and are not passed on. */
const CONNECTION_HEADERS = [
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "content-length",
];

/** Headers to endpoints that only the proxy may set, never a caller. */
const RESERVED_HEADERS = [
  "authorization",
  "tenant",
  "expect-instance",
  "expect-version",
  "deadline-ms",
  "priority-class",
  "last-event-id",
  "pin-ms",
  "kv-hold",
  "kv-backup",
  "kv-from",
  "kv-fetch",
  "accept-encoding",
];

const DROPPED_REQUEST_HEADERS = new Set([
  ...CONNECTION_HEADERS,
  ...RESERVED_HEADERS,
]);
const DROPPED_ANSWER_HEADERS = new Set(CONNECTION_HEADERS);

/** Statuses that callers take as a promise that the request has not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** Values by lower-case name; of a repeated name the first value counts. */
function groupHeaders(headers: RawHeaders): Map<string, string> {
  const values = new Map<string, string>();
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = (headers[i] ?? "").toLowerCase();
    if (!values.has(name)) values.set(name, headers[i + 1] ?? "");
  }
  return values;
}

/** All values of a header that may be repeated. */
function listValues(headers: RawHeaders, name: string): string[] {
  return headers
    .filter((_, i) => i % 2 === 1)
    .filter((_, i) => headers[2 * i]?.toLowerCase() === name);
}

/** Undefined where the header is missing or has several different values. */
function findOnlyValue(headers: RawHeaders, name: string): string | undefined {
  const [value, ...others] = new Set(listValues(headers, name));
  return others.length === 0 ? value : undefined;
}

function parseWholeNumber(text: string | undefined): number | undefined {
  if (text === undefined || !/^\d{1,15}$/.test(text.trim())) return undefined;
  return Number(text);
}

/** Callers choose these names, which are kept; of longer ones the hash is. */
const MAX_NAME_LENGTH = 64;

/** Parses a list of `ID:TOKENS`; the first invalid item ends it. */
function parsePromptParts(text: string | undefined): PromptPart[] {
  const parts: PromptPart[] = [];
  for (const item of (text ?? "").split(",")) {
    const [id = "", tokens] = item.trim().split(":");
    const count = parseWholeNumber(tokens);
    if (id === "" || count === undefined) break;
    parts.push({ id: hashIfLong(id, MAX_NAME_LENGTH), tokens: count });
  }
  return parts;
}

const PERCENT = 100;

/**
 * Parses `RUNNING,WAITING,SLOTS` or `RUNNING,WAITING,SLOTS,PERCENT`, where the
 * last says how long work takes on the host at this moment.
 */
function parseLoad(text: string | undefined): EndpointLoad | undefined {
  const [running, waiting, slots, percent] = (text ?? "")
    .split(",")
    .map(parseWholeNumber);
  if (running === undefined || waiting === undefined || slots === undefined) {
    return undefined;
  }
  const hostSlowness = percent ? percent / PERCENT : undefined;
  return { running, waiting, slots, hostSlowness };
}

export function parseRequest(
  _method: string,
  target: string,
  headers: RawHeaders,
): RequestFacts | undefined {
  const values = groupHeaders(headers);
  // Endpoints would answer to either of two ids.
  const id = findOnlyValue(headers, "attempt-id");
  const host = values.get("host");
  if (id === undefined || id === "" || host === undefined) return undefined;
  const [promptTokens = 0, maxOutputTokens = 0] = (
    values.get("token-counts") ?? ""
  )
    .split(",")
    .map((text) => parseWholeNumber(text) ?? 0);
  const deadlineMs = parseWholeNumber(values.get("deadline-ms"));
  const session = values.get("session");
  return {
    id,
    host,
    path: target,
    apiKey: parseBearerToken(values.get("authorization") ?? ""),
    deadlineMs,
    session:
      session === undefined ? undefined : hashIfLong(session, MAX_NAME_LENGTH),
    promptTokens,
    maxOutputTokens,
    // Each item of `prefix-hash` has the id and the size of one part.
    parts: parsePromptParts(values.get("prefix-hash")),
    lastEventId: parseWholeNumber(values.get("last-event-id")),
  };
}

function collectHeaders(
  headers: RawHeaders,
  dropped: ReadonlySet<string>,
): RawHeaders {
  // Names in `Connection` concern this connection only, as that header does.
  const connectionNames = new Set(
    (groupHeaders(headers).get("connection") ?? "")
      .split(",")
      .map((name) => name.trim().toLowerCase()),
  );
  const kept: RawHeaders = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] ?? "";
    const lowerName = name.toLowerCase();
    if (dropped.has(lowerName) || connectionNames.has(lowerName)) continue;
    kept.push(name, headers[i + 1] ?? "");
  }
  return kept;
}

export function createAttemptHeaders(
  headers: RawHeaders,
  facts: AttemptFacts,
): RawHeaders {
  const attemptHeaders = collectHeaders(headers, DROPPED_REQUEST_HEADERS);
  if (facts.model !== undefined) {
    const index = attemptHeaders.findIndex(
      (name, i) => i % 2 === 0 && name.toLowerCase() === "model",
    );
    if (index >= 0) attemptHeaders[index + 1] = facts.model;
    else attemptHeaders.push("Model", facts.model);
  }
  attemptHeaders.push("Deadline-Ms", String(facts.deadlineMs));
  attemptHeaders.push("Expect-Instance", facts.endpoint.id);
  attemptHeaders.push(
    "Priority-Class",
    String(Math.min(9, Math.max(0, facts.rank))),
  );
  if (facts.account !== undefined) attemptHeaders.push("Tenant", facts.account);
  if (facts.lastEventId !== undefined) {
    attemptHeaders.push("Last-Event-Id", String(facts.lastEventId));
  }
  const values = groupHeaders(headers);
  const hasBody =
    values.has("content-length") || values.has("transfer-encoding");
  if (hasBody) attemptHeaders.push("Content-Length", String(facts.bodyBytes));
  return attemptHeaders;
}

/**
 * Time until a request may be sent again, ms. A date is compared with the
 * answer's own date, since this host's clock may be off by seconds.
 */
function parseRetryAfter(text: string, date = ""): number | undefined {
  if (SECONDS_PATTERN.test(text)) return Number(text) * MS_PER_SECOND;
  const waitMs = Date.parse(text) - Date.parse(date);
  // Without a comma it is a damaged number rather than a date.
  if (!text.includes(",") || Number.isNaN(waitMs)) return undefined;
  return Math.max(0, waitMs);
}

/** The lowest rate counts where several are given. */
function parseLimit(
  headers: RawHeaders,
): Pick<AnswerFacts, "limitPerSecond" | "invalidLimit"> {
  const texts = listValues(headers, "server-limit").map((text) => text.trim());
  const limits = texts.filter((text) => DECIMAL_PATTERN.test(text)).map(Number);
  return {
    limitPerSecond: limits.length > 0 ? Math.min(...limits) : undefined,
    invalidLimit: texts.find((text) => !DECIMAL_PATTERN.test(text)),
  };
}

export function parseAnswer(headers: RawHeaders): AnswerFacts {
  const values = groupHeaders(headers);
  const retryAfter = values.get("retry-after")?.trim();
  const retryAfterMs =
    retryAfter === undefined
      ? undefined
      : parseRetryAfter(retryAfter, values.get("date"));
  return {
    requestId: findOnlyValue(headers, "attempt-id"),
    isSigned: (values.get("server-stamp") ?? "") !== "",
    // Only this header promises that; the status alone does not.
    isNotRun: values.has("not-executed"),
    isLeaving: values.get("server-leaving")?.trim() === "1",
    endpointId: values.get("replica-id"),
    load: parseLoad(values.get("replica-load")),
    confidence: parseWholeNumber(values.get("confidence")),
    retryAfterMs,
    invalidRetryAfter: retryAfterMs === undefined ? retryAfter : undefined,
    ...parseLimit(headers),
  };
}

export function createRefusalHeaders(
  requestId: string,
  retryAfterMs?: number,
): RawHeaders {
  const headers: RawHeaders = [];
  if (requestId !== "") headers.push("Attempt-Id", requestId);
  if (retryAfterMs !== undefined) {
    headers.push("Retry-After", (retryAfterMs / MS_PER_SECOND).toFixed(2));
  }
  return headers;
}

export const platformWire: WireFormat = {
  parseRequest,
  createAttemptHeaders,
  parseAnswer,
  isNotRunStatus: (status) => NOT_RUN_STATUSES.includes(status),
  createAnswerHeaders: (headers) =>
    collectHeaders(headers, DROPPED_ANSWER_HEADERS),
  createRefusalHeaders,
};
