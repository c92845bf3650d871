/** Client of the platform's object store. All calls to it go through here. */

import { request } from "node:http";
import { err, ok, type Result } from "neverthrow";
import {
  BODY_REFUSAL,
  HeldMemory,
  MAX_STORE_ANSWER_BYTES,
  ReceivedBody,
  SENDER,
} from "../adapters/received/index.js";
import { STORE_FAILURE, type StoreFailure } from "./failures.js";
import {
  type Fields,
  getFields,
  getNumber,
  getText,
  isFields,
  isNestedWithin,
} from "./fields.js";
import { parseJson, StoreAnswers } from "./store_answers.js";
import { parseEra, type StoreEra } from "./store_era.js";

/** Kinds of stored objects, under the platform's own names. */
export const OBJECT_KIND = {
  configuration: "config",
  endpoints: "servers",
  rollouts: "rollouts",
  evacuations: "evacuations",
} as const;
/** Kind of the held prompt parts, which only entries write. */
export const PROMPT_HOLD_KIND = "prompt-holds";
/** A kind of which entries keep a view. */
export type ViewKind = (typeof OBJECT_KIND)[keyof typeof OBJECT_KIND];
export type ObjectKind = ViewKind | typeof PROMPT_HOLD_KIND;

export interface StoredObject {
  readonly name: string;
  /** Revision of the store at the object's last change. */
  readonly revision: number;
  /** Revision at which the object was created; never changes. */
  readonly createdRevision: number;
  readonly isDeleting: boolean;
  /** Undefined if it is nested too deeply. */
  readonly spec: unknown;
  readonly status: unknown;
}

/**
 * Most levels of a spec or status; the deepest document of the platform has
 * six. `JSON.stringify` is recursive and fails from some 4,000.
 */
const MAX_NESTING_LEVELS = 64;

export interface ObjectPage {
  readonly objects: readonly StoredObject[];
  /** Reasons why invalid objects were left out, one for each object. */
  readonly skipReasons: readonly string[];
  readonly hasMore: boolean;
  /** Revision of the store at which the page was read. */
  readonly storeRevision: number;
  /** Size of the answer that had the page, more if it has many values. */
  readonly sizeBytes?: number;
  /** Name after which the list continues; the page has it or a later one. */
  readonly lastName?: string;
}

export interface ObjectEvents {
  readonly events: readonly ObjectEvent[];
  /** Reasons why invalid events were left out, one for each event. */
  readonly skipReasons: readonly string[];
  /** The events are the changes up to this revision of the store. */
  readonly storeRevision: number;
}

/** Time limit for a call that does not wait for changes, ms. */
const CALL_TIMEOUT_MS = 1_500;
/** Time for the answer to a watch call on top of its wait, ms. */
export const WATCH_SLACK_MS = 600;

const FAILURE_BY_STATUS: Readonly<Record<number, StoreFailure["kind"]>> = {
  404: STORE_FAILURE.notFound,
  409: STORE_FAILURE.conflict,
  410: STORE_FAILURE.historyGone,
  429: STORE_FAILURE.throttled,
  503: STORE_FAILURE.unavailable,
};

export interface StoreClientOptions {
  readonly address: string;
  readonly port: number;
  /** Called after each call; the result is `ok` or the kind of failure. */
  readonly onCall: (kind: string, result: string) => void;
  readonly era: StoreEra;
  readonly signal: AbortSignal;
}

interface CallOptions {
  readonly timeoutMs?: number;
  readonly body?: unknown;
  readonly signal?: AbortSignal;
  /** For pages of a list: called with the size of the answer. */
  readonly onPage?: (bytes: number) => void;
  /** Called when there is a connection, on which the call is sent at once. */
  readonly onSend?: () => void;
}

export interface WatchCallOptions
  extends Pick<CallOptions, "signal" | "onSend"> {
  readonly waitMs: number;
}

export class StoreClient {
  readonly #options: StoreClientOptions;
  readonly #answers = new StoreAnswers();

  constructor(options: StoreClientOptions) {
    this.#options = options;
  }

  /** Reads one page; `after` is `lastName` of the page before. */
  async list(
    kind: ObjectKind,
    after: string | undefined,
  ): Promise<Result<ObjectPage, StoreFailure>> {
    if (after === undefined) this.#answers.releaseList(kind);
    const query =
      after === undefined ? "" : `?after=${encodeURIComponent(after)}`;
    let sizeBytes = 0;
    const answer = await this.#call(kind, "GET", `${kind}${query}`, {
      onPage: (bytes) => {
        sizeBytes = bytes;
      },
    });
    return answer.andThen(decodePage).map((page) => ({ ...page, sizeBytes }));
  }

  /** Waits for changes after the revision; often there are none by the end. */
  async watch(
    kind: ObjectKind,
    revision: number,
    options: WatchCallOptions,
  ): Promise<Result<ObjectEvents, StoreFailure>> {
    const { waitMs } = options;
    const path = `${kind}?watch=${revision}&wait_ms=${waitMs}`;
    const timeoutMs = waitMs + WATCH_SLACK_MS;
    const answer = await this.#call(kind, "GET", path, {
      ...options,
      timeoutMs,
    });
    return answer.andThen(decodeEvents);
  }

  async get(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject, StoreFailure>> {
    const path = `${kind}/${encodeURIComponent(name)}`;
    const answer = await this.#call(kind, "GET", path);
    return answer.andThen((body) => decodeObject(body));
  }

  /** Creates the object or replaces its content. */
  async put(
    kind: ObjectKind,
    name: string,
    spec: Fields,
  ): Promise<Result<StoredObject, StoreFailure>> {
    const body = { metadata: { name }, spec };
    const created = await this.#call(kind, "POST", kind, { body });
    const isExisting =
      created.isErr() && created.error.kind === STORE_FAILURE.conflict;
    const path = `${kind}/${encodeURIComponent(name)}`;
    const answer = isExisting
      ? await this.#call(kind, "PUT", path, { body })
      : created;
    return answer.andThen((value) => decodeObject(value));
  }

  async delete(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<unknown, StoreFailure>> {
    const path = `${kind}/${encodeURIComponent(name)}`;
    return await this.#call(kind, "DELETE", path);
  }

  /** Replaces the status unless the object was changed since the revision. */
  async putStatus(
    kind: ObjectKind,
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
    kind: ObjectKind,
    method: string,
    path: string,
    options: CallOptions = {},
  ): Promise<Result<unknown, StoreFailure>> {
    const { address, port, signal, onCall, era: storeEra } = this.#options;
    const { timeoutMs = CALL_TIMEOUT_MS, body, onPage } = options;
    const isPage = onPage !== undefined;
    if (!isPage) this.#answers.releaseList(kind);
    const requestBody = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve) => {
      let isSettled = false;
      const memory = new HeldMemory();
      const settle = (result: Result<unknown, StoreFailure>) => {
        if (isSettled) return;
        isSettled = true;
        memory.release();
        clearTimeout(timer);
        onCall(kind, result.isOk() ? "ok" : result.error.kind);
        resolve(result);
      };
      let isTimeout = false;
      const fail = (failureKind: StoreFailure["kind"], detail: string) =>
        settle(err({ kind: failureKind, detail, isTimeout }));
      const outgoing = request({
        host: address,
        port,
        method,
        path: `/hornbeamrill/objects/${path}`,
        // Answers don't name their call. On a kept connection a second copy of
        // an answer would be taken for the answer to the next call.
        agent: false,
        signal,
        headers:
          requestBody === undefined
            ? {}
            : {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(requestBody),
              },
      });
      outgoing.once("socket", (socket) =>
        socket.once("connect", () => options.onSend?.()),
      );
      options.signal?.addEventListener(
        "abort",
        () => outgoing.destroy(new Error("The call is no longer wanted")),
        { once: true },
      );
      const timer = setTimeout(() => {
        isTimeout = true;
        outgoing.destroy(new Error(`No answer in ${timeoutMs} ms`));
      }, timeoutMs);
      outgoing.on("error", (error) =>
        fail(STORE_FAILURE.noAnswer, error.message),
      );
      // Status 101 comes as this event; without a listener, none tells the end.
      outgoing.once("upgrade", ({ statusCode }, socket) => {
        socket.destroy();
        fail(STORE_FAILURE.malformed, `Status ${statusCode}`);
      });
      outgoing.once("response", (response) => {
        const era = parseEra(response.headers["store-era"]);
        if (era !== undefined && !storeEra.observe(era)) {
          fail(STORE_FAILURE.noAnswer, `Answer of era ${era}, which has ended`);
          response.destroy();
          return;
        }
        const answer = new ReceivedBody({
          sender: SENDER.store,
          maxBytes: MAX_STORE_ANSWER_BYTES,
          memory,
        });
        response.on("data", (chunk: Buffer) => {
          if (isSettled) return;
          const refusal = answer.add(chunk);
          if (refusal === undefined) return;
          const isTooLarge = refusal === BODY_REFUSAL.tooLarge;
          const { tooLarge, noAnswer } = STORE_FAILURE;
          fail(
            isTooLarge ? tooLarge : noAnswer,
            isTooLarge
              ? `Answer exceeds ${MAX_STORE_ANSWER_BYTES} bytes`
              : `Answer is refused: ${refusal}`,
          );
          response.destroy();
        });
        response.once("error", (error) =>
          fail(STORE_FAILURE.noAnswer, error.message),
        );
        response.once("end", () => {
          const status = response.statusCode ?? 0;
          if (status >= 200 && status < 300) {
            const parsed = this.#answers.parse(answer.data, { kind, isPage });
            if (parsed.isOk()) onPage?.(parsed.value.weightBytes);
            settle(parsed.map((value) => value.body));
            return;
          }
          const failureKind =
            FAILURE_BY_STATUS[status] ?? STORE_FAILURE.malformed;
          fail(failureKind, `Status ${status}`);
        });
      });
      outgoing.end(requestBody);
    });
  }
}

function createMalformedFailure(detail: string): StoreFailure {
  return { kind: STORE_FAILURE.malformed, detail };
}

/** With the flag, both halves of a pair are one character. */
const LONE_SURROGATE = /\p{Surrogate}/u;

/** Never throws, whatever the value. */
export function decodeObject(
  value: unknown,
): Result<StoredObject, StoreFailure> {
  if (!isFields(value))
    return err(
      createMalformedFailure("The stored object is not a JSON object"),
    );
  const metadata = getFields(value, "metadata");
  const name = getText(metadata, "name");
  const revision = getNumber(metadata, "revision");
  if (name === undefined || revision === undefined) {
    return err(
      createMalformedFailure("The stored object has no name or revision"),
    );
  }
  // Names become parts of paths, which half a surrogate pair can't.
  if (LONE_SURROGATE.test(name)) {
    return err(createMalformedFailure("The stored object's name is no text"));
  }
  return ok({
    name,
    revision,
    createdRevision: getNumber(metadata, "created") ?? 0,
    isDeleting: metadata.deleting === true,
    spec: getIfShallow(value.spec),
    status: getIfShallow(value.status),
  });
}

function getIfShallow(value: unknown): unknown {
  return isNestedWithin(value, MAX_NESTING_LEVELS) ? value : undefined;
}

export function decodePage(body: unknown): Result<ObjectPage, StoreFailure> {
  if (!isFields(body))
    return err(createMalformedFailure("The list is not a JSON object"));
  const storeRevision = getNumber(body, "at");
  const items = body.items;
  if (storeRevision === undefined || !Array.isArray(items)) {
    return err(createMalformedFailure("The list has no items or revision"));
  }
  const objects: StoredObject[] = [];
  const skipReasons: string[] = [];
  for (const item of items) {
    const object = decodeObject(item);
    if (object.isOk()) objects.push(object.value);
    else skipReasons.push(object.error.detail);
  }
  // An odd object has no name, and the list goes on all the same.
  const lastName = objects.at(-1)?.name;
  return ok({
    objects,
    skipReasons,
    hasMore: body.has_more === true,
    storeRevision,
    lastName,
  });
}

/** One change of an object, as reported by the store. */
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

/** Serializes as the store does; entries pass on changes in this form. */
export function serializeEvent({ object, isDeleted }: ObjectEvent): Uint8Array {
  const { name, revision, createdRevision, isDeleting, spec, status } = object;
  const metadata = {
    name,
    revision,
    created: createdRevision,
    deleting: isDeleting,
  };
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
  if (!isFields(body))
    return err(createMalformedFailure("The events are not a JSON object"));
  const storeRevision = getNumber(body, "at");
  if (storeRevision === undefined || !Array.isArray(body.events)) {
    return err(createMalformedFailure("The events have no list or revision"));
  }
  const results = body.events.map(decodeEvent);
  return ok({
    events: results.flatMap((result) => (result.isOk() ? [result.value] : [])),
    skipReasons: results.flatMap((result) =>
      result.isErr() ? [result.error.detail] : [],
    ),
    storeRevision,
  });
}
