/** Parses callers' HTTP requests for the router, or refuses them. */

import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { Ajv } from "ajv";
import { err, ok, type Result } from "neverthrow";
import { getBearerToken, getHeader, parseTarget } from "../adapters/index.js";
import {
  createRefusal,
  findAccountByKey,
  findClass,
  findService,
  hashSha256,
  listAllowedVersions,
  type Refusal,
  type RouteRequest,
} from "../core/index.js";
import {
  type ChatRequest,
  type ClientAccount,
  chatRequestSchema,
  type FleetState,
  type RequestClass,
} from "../schema/index.js";

/** Parts of a request that the router does not use, such as the body. */
export interface RequestPayload {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly contentType: string;
  readonly session?: string;
  readonly sessionToken?: string;
  readonly idempotencyKey?: string;
  readonly bodySha256: string;
  /** True when the caller asked for server-sent events. */
  readonly stream: boolean;
  /** Configuration revision by which the permissions were checked. */
  readonly revision: number;
}

export interface CallerRequest {
  readonly route: RouteRequest;
  readonly payload: RequestPayload;
}

export interface ParseOptions {
  readonly state: FleetState;
  readonly nowMs: number;
  readonly body: Buffer;
}

type ParseResult<T> = Result<T, Refusal>;

/** Rough average for English text; only used to estimate waiting times. */
const CHARS_PER_TOKEN = 4;
const MAX_DEADLINE_MS = 600_000;
const MAX_IDEMPOTENCY_KEY_CHARS = 200;
/** Prompts that begin with the same characters share a `prefixHash`. */
const PREFIX_CHARS = 512;

const ajv = new Ajv({ strict: false });
const checkChatRequest = ajv.compile<ChatRequest>(chatRequestSchema);

function refuse<T>(...args: Parameters<typeof createRefusal>): ParseResult<T> {
  return err(createRefusal(...args));
}

/** Finds the client account of the caller's API key. */
export function authenticate(
  request: IncomingMessage,
  state: FleetState,
): ParseResult<ClientAccount> {
  const token = getBearerToken(request);
  if (token === undefined) {
    return refuse("unauthorized", "Header Authorization: Bearer is missing");
  }
  const account = findAccountByKey(state, hashSha256(token));
  return account === undefined
    ? refuse("unauthorized", "API key is not known")
    : ok(account);
}

function parseChatBody(body: Buffer): ParseResult<ChatRequest> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch (error) {
    return refuse("bad-request", `Body is not JSON: ${String(error)}`);
  }
  if (checkChatRequest(value)) return ok(value);
  const [problem] = checkChatRequest.errors ?? [];
  const keyPath = problem?.instancePath.slice(1).replaceAll("/", ".") || "body";
  return refuse(
    "bad-request",
    `Cannot use key "${keyPath}": ${problem?.message ?? "invalid"}`,
  );
}

function parseNumberHeader(
  request: IncomingMessage,
  name: string,
  range: { min: number; max: number },
): ParseResult<number | undefined> {
  const text = getHeader(request, name);
  if (text === undefined) return ok(undefined);
  const value = /^\d+(\.\d+)?$/.test(text) ? Number(text) : Number.NaN;
  if (value >= range.min && value <= range.max) {
    return ok(value);
  }
  return refuse(
    "bad-request",
    `Cannot use header "${name}": got "${text}", expected ${range.min} to ${range.max}`,
  );
}

function listCandidates(
  state: FleetState,
  account: ClientAccount,
  selection: { model: string; allowed: string[] },
): ParseResult<string[]> {
  const { model, allowed } = selection;
  const matching = Object.values(state.versions).filter(
    (version) =>
      model === "auto" || version.name === model || version.model === model,
  );
  if (matching.length === 0) {
    return refuse("unknown-model", `Model or version "${model}" is not known`);
  }
  const allowedMatching = allowed.filter((name) =>
    matching.some((v) => v.name === name),
  );
  if (allowedMatching.length > 0) return ok(allowedMatching);
  const areAllWithdrawn = matching.every(
    (version) => version.state === "withdrawn",
  );
  return areAllWithdrawn &&
    matching.some((v) => account.versions.includes(v.name))
    ? refuse("version-withdrawn", `"${model}" is withdrawn`)
    : refuse(
        "not-allowed",
        `Account "${account.name}" may not use "${model}" for this class`,
      );
}

function parseClass(
  request: IncomingMessage,
  state: FleetState,
  account: ClientAccount,
): ParseResult<RequestClass> {
  const name = getHeader(request, "hornbeamrill-class");
  const requestClass = findClass(state, account, name);
  return requestClass === undefined
    ? refuse(
        "unknown-class",
        `Class "${name ?? "default"}" is not known for account "${account.name}"`,
      )
    : ok(requestClass);
}

/** Parses `POST /v1/chat/completions`. */
export function parseChatRequest(
  request: IncomingMessage,
  account: ClientAccount,
  options: ParseOptions,
): ParseResult<CallerRequest> {
  const { state, nowMs, body } = options;
  const chat = parseChatBody(body);
  if (chat.isErr()) return err(chat.error);
  const requestClass = parseClass(request, state, account);
  if (requestClass.isErr()) return err(requestClass.error);
  const deadlineMs = parseNumberHeader(request, "hornbeamrill-deadline-ms", {
    min: 1,
    max: MAX_DEADLINE_MS,
  });
  if (deadlineMs.isErr()) return err(deadlineMs.error);
  const qualityTarget = parseNumberHeader(
    request,
    "hornbeamrill-quality-target",
    {
      min: 0,
      max: 1,
    },
  );
  if (qualityTarget.isErr()) return err(qualityTarget.error);
  const candidates = listCandidates(state, account, {
    model: chat.value.model ?? "auto",
    allowed: listAllowedVersions(state, account, requestClass.value),
  });
  if (candidates.isErr()) return err(candidates.error);

  const prompt = JSON.stringify(chat.value.messages);
  return ok({
    route: {
      id: randomUUID(),
      account: account.name,
      requestClass: requestClass.value.name,
      kind: "model",
      service: "",
      idempotent: true,
      priority: requestClass.value.priority,
      deadlineAtMs: nowMs + (deadlineMs.value ?? requestClass.value.deadlineMs),
      qualityTarget: qualityTarget.value ?? requestClass.value.qualityTarget,
      candidates: candidates.value,
      promptTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
      prefixHash: hashSha256(prompt.slice(0, PREFIX_CHARS)),
    },
    payload: {
      method: "POST",
      path: "/v1/chat/completions",
      body,
      contentType: "application/json",
      session: getHeader(request, "hornbeamrill-session"),
      sessionToken: getHeader(request, "hornbeamrill-session-token"),
      bodySha256: hashSha256(body),
      stream: chat.value.stream === true,
      revision: state.revision,
    },
  });
}

function parseIdempotencyKey(
  request: IncomingMessage,
  required: boolean,
): ParseResult<string | undefined> {
  const key = getHeader(request, "idempotency-key");
  if (key === undefined || key === "") {
    return required
      ? refuse(
          "idempotency-key-required",
          "Header Idempotency-Key is required for this service",
        )
      : ok(undefined);
  }
  return key.length <= MAX_IDEMPOTENCY_KEY_CHARS
    ? ok(key)
    : refuse(
        "bad-request",
        `Idempotency-Key is longer than ${MAX_IDEMPOTENCY_KEY_CHARS} characters`,
      );
}

/** Parses `ANY /services/{service}/{path}`. */
export function parseServiceRequest(
  request: IncomingMessage,
  account: ClientAccount,
  options: ParseOptions,
): ParseResult<CallerRequest> {
  const { state, nowMs, body } = options;
  // Uses the normalized path, so that the service gets the checked one.
  const { pathname = "", search = "" } = parseTarget(request) ?? {};
  const [, , name = "", ...segments] = pathname.split("/");
  if (!Object.hasOwn(state.services, name)) {
    return refuse("unknown-service", `Service "${name}" is not known`);
  }
  const service = findService(state, account, name);
  if (service === undefined) {
    return refuse(
      "not-allowed",
      `Account "${account.name}" may not call service "${name}"`,
    );
  }
  const deadlineMs = parseNumberHeader(request, "hornbeamrill-deadline-ms", {
    min: 1,
    max: MAX_DEADLINE_MS,
  });
  if (deadlineMs.isErr()) return err(deadlineMs.error);
  const idempotencyKey = parseIdempotencyKey(request, !service.idempotent);
  if (idempotencyKey.isErr()) return err(idempotencyKey.error);
  const path = `/${segments.join("/")}${search}`;
  const method = request.method ?? "GET";
  return ok({
    route: {
      id: randomUUID(),
      account: account.name,
      requestClass: service.name,
      kind: "service",
      service: service.name,
      idempotent: service.idempotent,
      priority: service.priority,
      deadlineAtMs: nowMs + (deadlineMs.value ?? service.deadlineMs),
      candidates: [],
      promptTokens: 0,
    },
    payload: {
      method,
      path,
      body,
      contentType: getHeader(request, "content-type") ?? "",
      idempotencyKey: idempotencyKey.value,
      bodySha256: hashSha256(`${method} ${path}\n${body.toString("base64")}`),
      stream: false,
      revision: state.revision,
    },
  });
}
