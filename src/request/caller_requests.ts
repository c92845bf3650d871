/** Turns callers' HTTP requests into route requests, or refuses them. */

import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { Ajv } from "ajv";
import { err, ok, type Result } from "neverthrow";
import { getBearerToken, getHeader, parseTarget } from "../adapters/index.js";
import {
  createRefusal,
  findAccountByKey,
  findClass,
  findService,
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

/** What travels with a route request to the endpoint. */
export interface RequestWork {
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
  /** Revision by which the permissions were checked. */
  readonly revision: number;
}

export interface CallerRequest {
  readonly route: RouteRequest;
  readonly work: RequestWork;
}

export interface ParseOptions {
  readonly state: FleetState;
  readonly nowMs: number;
  readonly body: Buffer;
}

type Parsed<T> = Result<T, Refusal>;

/** Rough length of a token in English text; only used to estimate waits. */
const BYTES_PER_TOKEN = 4;
const MAX_DEADLINE_MS = 600_000;
const MAX_KEY_LENGTH = 200;
/** Bytes of the prompt that identify a shared prefix. */
const PREFIX_BYTES = 512;

const ajv = new Ajv({ strict: false });
const checkChatRequest = ajv.compile<ChatRequest>(chatRequestSchema);

function refuse<T>(...args: Parameters<typeof createRefusal>): Parsed<T> {
  return err(createRefusal(...args));
}

export function hashSha256(data: string | Uint8Array): string {
  return createHash("sha256").update(data).digest("hex");
}

/** Finds the client account of the caller's API key. */
export function authenticate(
  request: IncomingMessage,
  state: FleetState,
): Parsed<ClientAccount> {
  const token = getBearerToken(request);
  if (token === undefined) {
    return refuse("unauthorized", "Header Authorization: Bearer is missing");
  }
  const account = findAccountByKey(state, hashSha256(token));
  return account === undefined
    ? refuse("unauthorized", "API key is not known")
    : ok(account);
}

function parseChatBody(body: Buffer): Parsed<ChatRequest> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch (error) {
    return refuse("bad-request", `Body is not JSON: ${String(error)}`);
  }
  if (checkChatRequest(value)) return ok(value);
  const [problem] = checkChatRequest.errors ?? [];
  const key = problem?.instancePath.slice(1).replaceAll("/", ".") || "body";
  return refuse(
    "bad-request",
    `Cannot use key "${key}": ${problem?.message ?? "invalid"}`,
  );
}

function parseNumberHeader(
  request: IncomingMessage,
  name: string,
  range: { least: number; most: number },
): Parsed<number | undefined> {
  const text = getHeader(request, name);
  if (text === undefined) return ok(undefined);
  const value = /^\d+(\.\d+)?$/.test(text) ? Number(text) : Number.NaN;
  if (value >= range.least && value <= range.most) {
    return ok(value);
  }
  return refuse(
    "bad-request",
    `Cannot use header "${name}": got "${text}", expected ${range.least} to ${range.most}`,
  );
}

function listByModel(
  state: FleetState,
  account: ClientAccount,
  selection: { model: string; allowed: string[] },
): Parsed<string[]> {
  const { model, allowed } = selection;
  const named = Object.values(state.versions).filter(
    (version) =>
      model === "auto" || version.name === model || version.model === model,
  );
  if (named.length === 0) {
    return refuse("unknown-model", `Model or version "${model}" is not known`);
  }
  const usable = allowed.filter((name) => named.some((v) => v.name === name));
  if (usable.length > 0) return ok(usable);
  const withdrawn = named.every((version) => version.state === "withdrawn");
  return withdrawn && named.some((v) => account.versions.includes(v.name))
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
): Parsed<RequestClass> {
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
): Parsed<CallerRequest> {
  const { state, nowMs, body } = options;
  const chat = parseChatBody(body);
  if (chat.isErr()) return err(chat.error);
  const requestClass = parseClass(request, state, account);
  if (requestClass.isErr()) return err(requestClass.error);
  const deadline = parseNumberHeader(request, "hornbeamrill-deadline-ms", {
    least: 1,
    most: MAX_DEADLINE_MS,
  });
  if (deadline.isErr()) return err(deadline.error);
  const target = parseNumberHeader(request, "hornbeamrill-quality-target", {
    least: 0,
    most: 1,
  });
  if (target.isErr()) return err(target.error);
  const candidates = listByModel(state, account, {
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
      deadlineAtMs: nowMs + (deadline.value ?? requestClass.value.deadlineMs),
      qualityTarget: target.value ?? requestClass.value.qualityTarget,
      candidates: candidates.value,
      promptTokens: Math.ceil(prompt.length / BYTES_PER_TOKEN),
      prefixHash: hashSha256(prompt.slice(0, PREFIX_BYTES)),
    },
    work: {
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
): Parsed<string | undefined> {
  const key = getHeader(request, "idempotency-key");
  if (key === undefined || key === "") {
    return required
      ? refuse(
          "idempotency-key-required",
          "Header Idempotency-Key is required for this service",
        )
      : ok(undefined);
  }
  return key.length <= MAX_KEY_LENGTH
    ? ok(key)
    : refuse(
        "bad-request",
        `Idempotency-Key is longer than ${MAX_KEY_LENGTH} characters`,
      );
}

/** Parses `ANY /services/{service}/{path}`. */
export function parseServiceRequest(
  request: IncomingMessage,
  account: ClientAccount,
  options: ParseOptions,
): Parsed<CallerRequest> {
  const { state, nowMs, body } = options;
  // The normalized path, so that the service gets the path that was checked.
  const { pathname = "", search = "" } = parseTarget(request) ?? {};
  const [, , name = "", ...rest] = pathname.split("/");
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
  const deadline = parseNumberHeader(request, "hornbeamrill-deadline-ms", {
    least: 1,
    most: MAX_DEADLINE_MS,
  });
  if (deadline.isErr()) return err(deadline.error);
  const key = parseIdempotencyKey(request, !service.idempotent);
  if (key.isErr()) return err(key.error);
  const path = `/${rest.join("/")}${search}`;
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
      deadlineAtMs: nowMs + (deadline.value ?? service.deadlineMs),
      candidates: [],
      promptTokens: 0,
    },
    work: {
      method,
      path,
      body,
      contentType: getHeader(request, "content-type") ?? "",
      idempotencyKey: key.value,
      bodySha256: hashSha256(`${method} ${path}\n${body.toString("base64")}`),
      stream: false,
      revision: state.revision,
    },
  });
}
