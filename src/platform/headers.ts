/** Translates the heads of requests and answers; all header names are here. */

import { parseBearerToken } from "../adapters/http.js";
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
/** Seconds, with a fraction at times. */
const SECONDS = /^\d{1,9}(?:\.\d{1,9})?$/;

/** Headers that concern one connection only. */
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

/** Headers that only this system sets towards a replica. */
const SYSTEM_HEADERS = [
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

const REQUEST_DROPPED = new Set([...CONNECTION_HEADERS, ...SYSTEM_HEADERS]);
const ANSWER_DROPPED = new Set(CONNECTION_HEADERS);

/** Values by lower-case name; the first one counts where a name repeats. */
function groupHeaders(headers: RawHeaders): Map<string, string> {
  const values = new Map<string, string>();
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = (headers[i] ?? "").toLowerCase();
    if (!values.has(name)) values.set(name, headers[i + 1] ?? "");
  }
  return values;
}

function parseWhole(text: string | undefined): number | undefined {
  if (text === undefined || !/^\d{1,15}$/.test(text.trim())) return undefined;
  return Number(text);
}

/** `ID:TOKENS` entries; an entry that can't be read ends the list. */
function parseParts(text: string | undefined): PromptPart[] {
  const parts: PromptPart[] = [];
  for (const entry of (text ?? "").split(",")) {
    const [id = "", tokens] = entry.trim().split(":");
    const count = parseWhole(tokens);
    if (id === "" || count === undefined) break;
    parts.push({ id, tokens: count });
  }
  return parts;
}

/** `RUNNING,WAITING,SLOTS` */
function parseLoad(text: string | undefined): EndpointLoad | undefined {
  const [running, waiting, slots] = (text ?? "").split(",").map(parseWhole);
  if (running === undefined || waiting === undefined || slots === undefined) {
    return undefined;
  }
  return { running, waiting, slots };
}

export function parseRequest(
  _method: string,
  target: string,
  headers: RawHeaders,
): RequestFacts | undefined {
  const values = groupHeaders(headers);
  const id = values.get("attempt-id");
  const host = values.get("host");
  if (id === undefined || id === "" || host === undefined) return undefined;
  const [promptTokens = 0, maxOutputTokens = 0] = (
    values.get("token-counts") ?? ""
  )
    .split(",")
    .map((text) => parseWhole(text) ?? 0);
  const deadlineMs = parseWhole(values.get("deadline-ms"));
  return {
    id,
    host,
    path: target,
    apiKey: parseBearerToken(values.get("authorization") ?? ""),
    deadlineMs,
    session: values.get("session"),
    promptTokens,
    maxOutputTokens,
    parts: parseParts(values.get("prefix-hash")),
    lastEventId: parseWhole(values.get("last-event-id")),
  };
}

function collectHeaders(
  headers: RawHeaders,
  dropped: ReadonlySet<string>,
): RawHeaders {
  const listed = new Set(
    (groupHeaders(headers).get("connection") ?? "")
      .split(",")
      .map((name) => name.trim().toLowerCase()),
  );
  const copy: RawHeaders = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] ?? "";
    const lower = name.toLowerCase();
    if (dropped.has(lower) || listed.has(lower)) continue;
    copy.push(name, headers[i + 1] ?? "");
  }
  return copy;
}

export function createAttemptHeaders(
  headers: RawHeaders,
  facts: AttemptFacts,
): RawHeaders {
  const copy = collectHeaders(headers, REQUEST_DROPPED);
  if (facts.model !== undefined) {
    const index = copy.findIndex(
      (name, i) => i % 2 === 0 && name.toLowerCase() === "model",
    );
    if (index >= 0) copy[index + 1] = facts.model;
    else copy.push("Model", facts.model);
  }
  copy.push("Deadline-Ms", String(facts.deadlineMs));
  copy.push("Expect-Instance", facts.endpoint.id);
  copy.push("Priority-Class", String(Math.min(9, Math.max(0, facts.rank))));
  if (facts.account !== undefined) copy.push("Tenant", facts.account);
  if (facts.lastEventId !== undefined) {
    copy.push("Last-Event-Id", String(facts.lastEventId));
  }
  const values = groupHeaders(headers);
  const hasBody =
    values.has("content-length") || values.has("transfer-encoding");
  if (hasBody) copy.push("Content-Length", String(facts.bodyBytes));
  return copy;
}

/**
 * Time until callers may return, ms. A date counts from the answer's own
 * date, since this host's time of day may be off by seconds.
 */
function parseRetryAfter(text: string, date = ""): number | undefined {
  if (SECONDS.test(text)) return Number(text) * MS_PER_SECOND;
  const waitMs = Date.parse(text) - Date.parse(date);
  // Without a comma it is a damaged number rather than a date.
  if (!text.includes(",") || Number.isNaN(waitMs)) return undefined;
  return Math.max(0, waitMs);
}

export function parseAnswer(headers: RawHeaders): AnswerFacts {
  const values = groupHeaders(headers);
  const retryAfter = values.get("retry-after")?.trim();
  const retryAfterMs =
    retryAfter === undefined
      ? undefined
      : parseRetryAfter(retryAfter, values.get("date"));
  return {
    requestId: values.get("attempt-id"),
    isSigned: (values.get("server-stamp") ?? "") !== "",
    // Only this header is a replica's promise; its status alone is not.
    isNotRun: values.has("not-executed"),
    isLeaving: values.get("server-leaving")?.trim() === "1",
    endpointId: values.get("replica-id"),
    load: parseLoad(values.get("replica-load")),
    confidence: parseWhole(values.get("confidence")),
    retryAfterMs,
    invalidRetryAfter: retryAfterMs === undefined ? retryAfter : undefined,
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
  createAnswerHeaders: (headers) => collectHeaders(headers, ANSWER_DROPPED),
  createRefusalHeaders,
};
