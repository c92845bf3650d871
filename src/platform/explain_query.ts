/**
 * Decodes an operator's question where a request would be routed. The fields
 * become headers, so that the request is read as a caller's.
 */

import { err, ok, type Result } from "neverthrow";
import type { RawHeaders } from "../proxy/index.js";
import { createDecodeFailure, type DecodeFailure } from "./failures.js";
import {
  type Fields,
  getCount,
  getFields,
  getList,
  getText,
  isFields,
} from "./fields.js";

/** Four times the default limit of a request's head, for its form as JSON. */
const MAX_QUERY_BYTES = 65_536;
/** Numbers in headers have at most 15 digits. */
const MAX_COUNT = 10 ** 15 - 1;
/** Printable characters of Latin 1, as in the values of headers. */
const VALUE_PATTERN = /^[\x20-\x7e\x80-\xff]+$/;
/** Names of headers and methods. */
const TOKEN_PATTERN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const PATH_PATTERN = /^\/[\x21-\x7e]*$/;
/** Separators of the list of parts end an id. */
const PART_ID_PATTERN = /^[\x21-\x2b\x2d-\x39\x3b-\x7e]+$/;
/**
 * Id of a request that has none; holds under trial are compared with it, so no
 * caller should use it.
 */
const DEFAULT_REQUEST_ID = "hornbeamrill-explain";

const TEXT_FIELDS = ["method", "host", "path", "key", "session", "model"];
const COUNT_FIELDS = ["promptTokens", "deadlineMs"];
const FIELD_NAMES = new Set([
  ...TEXT_FIELDS,
  ...COUNT_FIELDS,
  "parts",
  "headers",
]);

export interface ExplainQuery {
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly model?: string;
}

export function decodeExplainQuery(
  data: Uint8Array,
): Result<ExplainQuery, DecodeFailure> {
  if (data.length > MAX_QUERY_BYTES) {
    return fail(`The body exceeds ${MAX_QUERY_BYTES} bytes`);
  }
  const fields = parseFields(data);
  if (fields === undefined) return fail("The body is not a JSON object");
  const problem = findProblem(fields);
  if (problem !== undefined) return fail(problem);
  return ok({
    method: getText(fields, "method") ?? "GET",
    path: getText(fields, "path") ?? "/",
    headers: createHeaders(fields),
    model: getText(fields, "model"),
  });
}

function fail(detail: string): Result<never, DecodeFailure> {
  return err(createDecodeFailure(detail));
}

function parseFields(data: Uint8Array): Fields | undefined {
  try {
    const value: unknown = JSON.parse(Buffer.from(data).toString());
    return isFields(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Describes the first field that is missing, unknown or invalid. */
function findProblem(fields: Fields): string | undefined {
  const unknownName = Object.keys(fields).find(
    (name) => !FIELD_NAMES.has(name),
  );
  if (unknownName !== undefined) return `Field "${unknownName}" is unknown`;
  for (const name of TEXT_FIELDS) {
    if (!Object.hasOwn(fields, name)) continue;
    const text = getText(fields, name);
    if (text === undefined || !VALUE_PATTERN.test(text)) {
      return `Field "${name}" is not a text of printable characters`;
    }
  }
  for (const name of COUNT_FIELDS) {
    if (Object.hasOwn(fields, name) && !isCount(fields, name)) {
      return `Field "${name}" is not a whole number from 0`;
    }
  }
  const { host, path, method = "GET" } = fields;
  if (host === undefined) return 'Field "host" is missing';
  if (path === undefined) return 'Field "path" is missing';
  if (!PATH_PATTERN.test(String(path))) {
    return 'Field "path" is not a path that begins with "/"';
  }
  if (!TOKEN_PATTERN.test(String(method))) {
    return 'Field "method" is not a method';
  }
  return findPartProblem(fields) ?? findHeaderProblem(fields);
}

function isCount(fields: Fields, name: string): boolean {
  return (getCount(fields, name) ?? Number.POSITIVE_INFINITY) <= MAX_COUNT;
}

function findPartProblem(fields: Fields): string | undefined {
  const { parts = [] } = fields;
  const isValid =
    Array.isArray(parts) &&
    parts.every(
      (part) =>
        isFields(part) &&
        PART_ID_PATTERN.test(getText(part, "id") ?? "") &&
        isCount(part, "tokens"),
    );
  return isValid
    ? undefined
    : 'Field "parts" is not a list of objects with "id" and "tokens"';
}

function findHeaderProblem(fields: Fields): string | undefined {
  const { headers = {} } = fields;
  const isValid =
    isFields(headers) &&
    Object.entries(headers).every(
      ([name, value]) =>
        TOKEN_PATTERN.test(name) &&
        typeof value === "string" &&
        VALUE_PATTERN.test(value),
    );
  return isValid ? undefined : 'Field "headers" has no names with texts';
}

/** Of a repeated name the first value counts, so fields precede `headers`. */
function createHeaders(fields: Fields): RawHeaders {
  const headers: RawHeaders = ["Host", getText(fields, "host") ?? ""];
  const key = getText(fields, "key");
  if (key !== undefined) headers.push("Authorization", `Bearer ${key}`);
  const session = getText(fields, "session");
  if (session !== undefined) headers.push("Session", session);
  const promptTokens = getCount(fields, "promptTokens");
  if (promptTokens !== undefined)
    headers.push("Token-Counts", `${promptTokens}`);
  const deadlineMs = getCount(fields, "deadlineMs");
  if (deadlineMs !== undefined) headers.push("Deadline-Ms", `${deadlineMs}`);
  const parts = getList(fields, "parts")
    .filter(isFields)
    .map((part) => `${getText(part, "id")}:${getCount(part, "tokens")}`);
  if (parts.length > 0) headers.push("Prefix-Hash", parts.join(","));
  const others = Object.entries(getFields(fields, "headers"));
  const hasId = others.some(([name]) => name.toLowerCase() === "attempt-id");
  if (!hasId) headers.push("Attempt-Id", DEFAULT_REQUEST_ID);
  return [...headers, ...others.flatMap(([name, value]) => [name, `${value}`])];
}
