/** HTTP client of the object store. */

import {
  err,
  errAsync,
  ok,
  okAsync,
  type Result,
  ResultAsync,
} from "neverthrow";
import {
  HttpClient,
  type HttpReply,
  type HttpTarget,
  type TransportFailure,
} from "./http_client.js";
import { createJsonParser, readErrorCode } from "./json_parser.js";
import type {
  ObjectStore,
  StoredObject,
  StoreFailure,
  WriteRequest,
} from "./object_store.js";

const OBJECT_SCHEMA = {
  type: "object",
  required: ["key", "version", "value"],
  properties: {
    key: { type: "string" },
    version: { type: "integer", minimum: 1 },
  },
};
const parseObject = createJsonParser<StoredObject>(OBJECT_SCHEMA);
const parseListPage = createJsonParser<{
  objects: StoredObject[];
  more: boolean;
}>({
  type: "object",
  required: ["objects", "more"],
  properties: {
    objects: { type: "array", items: OBJECT_SCHEMA },
    more: { type: "boolean" },
  },
});
const parseWriteReply = createJsonParser<{ version: number }>({
  type: "object",
  required: ["version"],
  properties: { version: { type: "integer", minimum: 1 } },
});

/** Used when a 429 reply does not say when to retry. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

export function createHttpObjectStore(target: HttpTarget): ObjectStore {
  return new HttpObjectStore(target);
}

class HttpObjectStore implements ObjectStore {
  readonly #client: HttpClient;
  readonly #timeoutMs: number;

  constructor(target: HttpTarget) {
    this.#client = new HttpClient(target);
    this.#timeoutMs = target.timeoutMs;
  }

  read(key: string, signal: AbortSignal) {
    const path = createObjectPath(key);
    return this.#client
      .send({ method: "GET", path }, signal)
      .mapErr(toReadFailure)
      .andThen((reply) => readObject(reply, key));
  }

  write(request: WriteRequest, signal: AbortSignal) {
    const { key, value, ifVersion } = request;
    const path = createObjectPath(key);
    const body = JSON.stringify({ value, ifVersion });
    return this.#client
      .send({ method: "PUT", path, body }, signal)
      .mapErr(toWriteFailure)
      .andThen((reply) => readWriteReply(reply, key));
  }

  list(
    options: { prefix: string; after?: string; limit?: number },
    signal: AbortSignal,
  ): ResultAsync<StoredObject[], StoreFailure> {
    return new ResultAsync(this.#listPages(options, signal));
  }

  watch(
    options: { key: string; version: number; waitMs: number },
    signal: AbortSignal,
  ) {
    const { key, version, waitMs } = options;
    const query = new URLSearchParams({
      version: String(version),
      waitMs: String(waitMs),
    });
    const path = `${createObjectPath(key)}?${query}`;
    const timeoutMs = waitMs + this.#timeoutMs;
    return this.#client
      .send({ method: "GET", path, timeoutMs }, signal)
      .mapErr(toReadFailure)
      .andThen((reply) => readObject(reply, key));
  }

  /** Reads pages until the limit or the end; the store bounds a page's size. */
  async #listPages(
    options: { prefix: string; after?: string; limit?: number },
    signal: AbortSignal,
  ): Promise<Result<StoredObject[], StoreFailure>> {
    const { prefix, limit = Number.POSITIVE_INFINITY } = options;
    const objects: StoredObject[] = [];
    let after = options.after ?? "";
    while (objects.length < limit) {
      const query = new URLSearchParams({ prefix, after });
      if (limit < Number.POSITIVE_INFINITY) {
        query.set("limit", String(limit - objects.length));
      }
      const page = await this.#client
        .send({ method: "GET", path: `/objects?${query}` }, signal)
        .mapErr(toReadFailure)
        .andThen((reply) => readPage(reply, { prefix, after }));
      if (page.isErr()) return err(page.error);
      objects.push(...page.value.objects.slice(0, limit - objects.length));
      const last = page.value.objects.at(-1);
      if (!page.value.more || last === undefined) break;
      after = last.key;
    }
    return ok(objects);
  }
}

/** Each segment is encoded, so that a slash still separates segments. */
function createObjectPath(key: string): string {
  return `/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
}

function readObject(
  reply: HttpReply,
  key: string,
): ResultAsync<StoredObject | undefined, StoreFailure> {
  if (reply.status === 404 && readErrorCode(reply.body) === "absent") {
    return okAsync(undefined);
  }
  if (reply.status !== 200) return errAsync(toRefusal(reply));
  const object = parseObject(reply.body).mapErr(toReadFailure);
  if (object.isErr()) return errAsync(object.error);
  if (object.value.key === key) return okAsync(object.value);
  const detail = `Reply has key "${object.value.key}", not "${key}"`;
  return errAsync({ kind: "unavailable", detail });
}

function readPage(
  reply: HttpReply,
  requested: { prefix: string; after: string },
) {
  if (reply.status !== 200) return err(toRefusal(reply));
  return parseListPage(reply.body)
    .mapErr(toReadFailure)
    .andThen((page) => {
      let last = requested.after;
      for (const { key } of page.objects) {
        // Keys that do not increase would make the paging endless.
        if (key <= last || !key.startsWith(requested.prefix)) {
          const detail = `Key "${key}" after "${last}" is out of order or has another prefix`;
          return err({ kind: "unavailable" as const, detail });
        }
        last = key;
      }
      return ok(page);
    });
}

function readWriteReply(
  reply: HttpReply,
  key: string,
): Result<number, StoreFailure> {
  if (reply.status === 409) return err({ kind: "conflict", key });
  if (reply.status === 200) {
    return parseWriteReply(reply.body)
      .map(({ version }) => version)
      .mapErr(({ detail }) => ({ kind: "outcome-unknown", detail }));
  }
  const hadNoEffect = reply.status === 503 || reply.status < 500;
  if (hadNoEffect && reply.status >= 400) return err(toRefusal(reply));
  const detail = `Store answered a write with status ${reply.status}`;
  return err({ kind: "outcome-unknown", detail });
}

/** Failure for a reply that says that the call had no effect. */
function toRefusal(reply: HttpReply): StoreFailure {
  if (reply.status === 429) {
    const headerMs = Number(reply.headers["retry-after-ms"]);
    const retryAfterMs = headerMs > 0 ? headerMs : DEFAULT_RETRY_AFTER_MS;
    return { kind: "rate-limited", retryAfterMs };
  }
  const code = readErrorCode(reply.body);
  const detail = `Store answered with status ${reply.status} "${code}"`;
  return { kind: "unavailable", detail };
}

/** A read has no effect, however it fails. */
function toReadFailure(failure: { detail: string }): StoreFailure {
  return { kind: "unavailable", detail: failure.detail };
}

function toWriteFailure(failure: TransportFailure): StoreFailure {
  const { ran, detail } = failure;
  return { kind: ran === "no" ? "unavailable" : "outcome-unknown", detail };
}
