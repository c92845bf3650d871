/** The one client of the platform's object store. */

import { Agent, request } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { STORE_FAILURE, type StoreFailure } from "./errors.js";
import {
  type Fields,
  getFields,
  getNumber,
  getText,
  isFields,
} from "./fields.js";

/** Objects of kinds named on the platform's pages. */
export const KIND = {
  configuration: "config",
  endpoints: "servers",
  rollouts: "rollouts",
  evacuations: "evacuations",
} as const;
export type Kind = (typeof KIND)[keyof typeof KIND];

export interface StoredObject {
  readonly name: string;
  /** Store revision of the object's last change. */
  readonly revision: number;
  /** Set by the store when the object was created; never changes after. */
  readonly created: number;
  readonly isDeleting: boolean;
  readonly spec: unknown;
  readonly status: unknown;
}

export interface ObjectPage {
  readonly objects: readonly StoredObject[];
  /** Objects that can't be read, one line each. */
  readonly skipped: readonly string[];
  readonly hasMore: boolean;
  /** Store revision at which the page was read. */
  readonly at: number;
  /** Name of the last object, also of one that can't be read. */
  readonly lastName?: string;
}

export interface ObjectEvents {
  readonly events: readonly ObjectEvent[];
  /** Events that can't be read, one line each. */
  readonly skipped: readonly string[];
  readonly at: number;
}

/** Time for one call that does not wait, ms. */
const CALL_TIMEOUT_MS = 1_500;
/** Time for an answer after a watch's own wait has ended, ms. */
const WATCH_SLACK_MS = 600;
/**
 * Largest answer that is read, bytes: a page of a list holds about 1 MiB, and
 * a watch several changes of objects of up to 1 MiB each.
 */
const MAX_ANSWER_BYTES = 8_388_608;
/** Idle connections to the store; each watch and the writes use one. */
const MAX_IDLE_CONNECTIONS = 6;

const STATUS_FAILURES: Readonly<Record<number, StoreFailure["kind"]>> = {
  404: STORE_FAILURE.notFound,
  409: STORE_FAILURE.conflict,
  410: STORE_FAILURE.historyGone,
  429: STORE_FAILURE.throttled,
  503: STORE_FAILURE.unavailable,
};

export interface StoreClientOptions {
  readonly address: string;
  readonly port: number;
  /** Counts each call. */
  readonly onCall: (kind: string, result: string) => void;
  readonly signal: AbortSignal;
}

export class StoreClient {
  readonly #options: StoreClientOptions;
  readonly #agent = new Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_CONNECTIONS,
  });

  constructor(options: StoreClientOptions) {
    this.#options = options;
    options.signal.addEventListener("abort", () => this.#agent.destroy(), {
      once: true,
    });
  }

  /** Reads one page; `after` is the last name of the page before. */
  async list(
    kind: Kind,
    after: string | undefined,
  ): Promise<Result<ObjectPage, StoreFailure>> {
    const query =
      after === undefined ? "" : `?after=${encodeURIComponent(after)}`;
    const answer = await this.#call(kind, "GET", `${kind}${query}`);
    return answer.andThen(decodePage);
  }

  /** Waits for changes after the revision; no event after the wait is usual. */
  async watch(
    kind: Kind,
    revision: number,
    waitMs: number,
  ): Promise<Result<ObjectEvents, StoreFailure>> {
    const path = `${kind}?watch=${revision}&wait_ms=${waitMs}`;
    const timeoutMs = waitMs + WATCH_SLACK_MS;
    const answer = await this.#call(kind, "GET", path, { timeoutMs });
    return answer.andThen(decodeEvents);
  }

  async get(
    kind: Kind,
    name: string,
  ): Promise<Result<StoredObject, StoreFailure>> {
    const path = `${kind}/${encodeURIComponent(name)}`;
    const answer = await this.#call(kind, "GET", path);
    return answer.andThen((body) => decodeObject(body));
  }

  /** Replaces the status if the object still has the revision. */
  async putStatus(
    kind: Kind,
    object: { name: string; revision: number },
    status: Fields,
  ): Promise<Result<StoredObject, StoreFailure>> {
    const { name, revision } = object;
    const path = `${kind}/${encodeURIComponent(name)}/status`;
    const body = { metadata: { name, revision }, status };
    const answer = await this.#call(kind, "PUT", path, { body });
    return answer.andThen((value) => decodeObject(value));
  }

  #call(
    kind: Kind,
    method: string,
    path: string,
    options: { timeoutMs?: number; body?: unknown } = {},
  ): Promise<Result<unknown, StoreFailure>> {
    const { address, port, signal, onCall } = this.#options;
    const { timeoutMs = CALL_TIMEOUT_MS, body } = options;
    const data = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve) => {
      let isSettled = false;
      const settle = (result: Result<unknown, StoreFailure>) => {
        if (isSettled) return;
        isSettled = true;
        clearTimeout(timer);
        onCall(kind, result.isOk() ? "ok" : result.error.kind);
        resolve(result);
      };
      const fail = (failure: StoreFailure["kind"], detail: string) =>
        settle(err({ kind: failure, detail }));
      const outgoing = request({
        host: address,
        port,
        method,
        path: `/hornbeamrill/objects/${path}`,
        agent: this.#agent,
        signal,
        headers:
          data === undefined
            ? {}
            : {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(data),
              },
      });
      // A connection on which an answer is lost gives nothing any more.
      const timer = setTimeout(
        () => outgoing.destroy(new Error(`No answer in ${timeoutMs} ms`)),
        timeoutMs,
      );
      outgoing.once("error", (error) =>
        fail(STORE_FAILURE.noAnswer, error.message),
      );
      outgoing.once("response", (response) => {
        const chunks: Buffer[] = [];
        let size = 0;
        response.on("data", (chunk: Buffer) => {
          size += chunk.length;
          if (size <= MAX_ANSWER_BYTES) {
            chunks.push(chunk);
            return;
          }
          const detail = `Answer exceeds ${MAX_ANSWER_BYTES} bytes`;
          fail(STORE_FAILURE.tooLarge, detail);
          response.destroy();
        });
        response.once("error", (error) =>
          fail(STORE_FAILURE.noAnswer, error.message),
        );
        response.once("end", () => {
          const status = response.statusCode ?? 0;
          if (status >= 200 && status < 300) {
            settle(parseJson(Buffer.concat(chunks)));
            return;
          }
          const failure = STATUS_FAILURES[status] ?? STORE_FAILURE.malformed;
          fail(failure, `Status ${status}`);
        });
      });
      outgoing.end(data);
    });
  }
}

function createMalformed(detail: string): StoreFailure {
  return { kind: STORE_FAILURE.malformed, detail };
}

function parseJson(data: Buffer): Result<unknown, StoreFailure> {
  try {
    return ok(JSON.parse(data.toString("utf8")));
  } catch (error) {
    return err(createMalformed(String(error)));
  }
}

/** Any value of the store is decoded to an object or a typed failure. */
export function decodeObject(
  value: unknown,
): Result<StoredObject, StoreFailure> {
  if (!isFields(value)) return err(createMalformed("The object is no object"));
  const metadata = getFields(value, "metadata");
  const name = getText(metadata, "name");
  const revision = getNumber(metadata, "revision");
  if (name === undefined || revision === undefined) {
    return err(createMalformed("The object has no name or revision"));
  }
  return ok({
    name,
    revision,
    created: getNumber(metadata, "created") ?? 0,
    isDeleting: metadata.deleting === true,
    spec: value.spec,
    status: value.status,
  });
}

export function decodePage(body: unknown): Result<ObjectPage, StoreFailure> {
  if (!isFields(body)) return err(createMalformed("The list is no object"));
  const at = getNumber(body, "at");
  const items = body.items;
  if (at === undefined || !Array.isArray(items)) {
    return err(createMalformed("The list has no items or revision"));
  }
  const objects: StoredObject[] = [];
  const skipped: string[] = [];
  for (const item of items) {
    const object = decodeObject(item);
    if (object.isOk()) objects.push(object.value);
    else skipped.push(object.error.detail);
  }
  const last = items.at(-1);
  const lastName = isFields(last)
    ? getText(getFields(last, "metadata"), "name")
    : undefined;
  return ok({
    objects,
    skipped,
    hasMore: body.has_more === true,
    at,
    lastName,
  });
}

/** One change of an object, as the store tells it. */
export interface ObjectEvent {
  readonly object: StoredObject;
  readonly isDeleted: boolean;
}

function decodeEvent(event: unknown): Result<ObjectEvent, StoreFailure> {
  const fields = isFields(event) ? event : {};
  return decodeObject(fields.object).map((object) => ({
    object,
    isDeleted: fields.deleted === true,
  }));
}

/** The form in which entries pass changes on: the store's own. */
export function serializeEvent({ object, isDeleted }: ObjectEvent): Uint8Array {
  const { name, revision, created, isDeleting, spec, status } = object;
  const metadata = { name, revision, created, deleting: isDeleting };
  const event = { deleted: isDeleted, object: { metadata, spec, status } };
  return Buffer.from(JSON.stringify(event));
}

export function parseEvent(
  data: Uint8Array,
): Result<ObjectEvent, StoreFailure> {
  return parseJson(Buffer.from(data)).andThen(decodeEvent);
}

export function decodeEvents(
  body: unknown,
): Result<ObjectEvents, StoreFailure> {
  if (!isFields(body)) return err(createMalformed("Events are no object"));
  const at = getNumber(body, "at");
  if (at === undefined || !Array.isArray(body.events)) {
    return err(createMalformed("Events have no list or revision"));
  }
  const results = body.events.map(decodeEvent);
  return ok({
    events: results.flatMap((result) => (result.isOk() ? [result.value] : [])),
    skipped: results.flatMap((result) =>
      result.isErr() ? [result.error.detail] : [],
    ),
    at,
  });
}
