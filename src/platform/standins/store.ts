/**
 * Stand-in for the platform's object store: objects by kind and name, one
 * revision counter, conditional writes, paged lists, watches over a history
 * that can be dropped, and faults.
 */

import { setTimeout as delay } from "node:timers/promises";
import { RateLimit } from "../../standins/rate_limit.js";
import {
  type Call,
  type Handler,
  parseJson,
  type Reply,
  ReplyError,
} from "../../standins/server.js";
import { type Fields, getFields, getNumber, getText } from "../fields.js";

interface StoredObject {
  readonly metadata: {
    readonly name: string;
    revision: number;
    readonly created: number;
    finalizers: readonly string[];
    deleting: boolean;
  };
  spec: unknown;
  status: unknown;
}

interface StoreEvent {
  readonly kind: string;
  readonly revision: number;
  readonly deleted: boolean;
  readonly object: unknown;
}

/** All objects at one revision of the store. */
export interface StoreCopy {
  readonly revision: number;
  readonly objects: string;
}

export interface StoreFaults {
  /** Each call is answered with 503 ("busy"), reset, or left to hang. */
  outage?: "busy" | "reset" | "silent";
  /** Number of coming writes that take effect without an answer. */
  repliesToLose?: number;
  /** Watches report no events and time out. */
  hidesChangesFromWatches?: boolean;
}

const DEFAULT_OBJECTS_PER_PAGE = 500;
const MAX_WATCH_MS = 30_000;

export class PlatformStoreStandin {
  readonly #objects = new Map<string, Map<string, StoredObject>>();
  readonly #watchWakers = new Set<() => void>();
  readonly #writeLimit = new RateLimit(() => performance.now());
  readonly #readLimit = new RateLimit(() => performance.now());
  readonly #rates: { writesPerSecond: number; readsPerSecond: number };
  readonly #rawSpecs = new Map<string, string>();
  #history: StoreEvent[] = [];
  #revision = 1;
  #oldestRevision = 1;
  #faults: StoreFaults = {};
  #era = 1;
  /** Largest number of objects on one page of a list. */
  objectsPerPage = DEFAULT_OBJECTS_PER_PAGE;
  /** Delay before each answer. */
  delayMs = 0;
  /** Number of calls by kind of object, failed ones included. */
  readonly callsByKind = new Map<string, number>();

  constructor(rates = { writesPerSecond: 400, readsPerSecond: 2_000 }) {
    this.#rates = rates;
  }

  readonly handle: Handler = async (call) => {
    // Also of an answer that is written only after a restore.
    const era = String(this.#era);
    try {
      const reply = await this.#answer(call);
      const text = this.#renderRaw(reply?.body);
      return reply && { ...reply, text, headers: { "Store-Era": era } };
    } catch (error) {
      if (!(error instanceof ReplyError)) throw error;
      const headers = { "Store-Era": era };
      throw new ReplyError(error.status, error.code, headers);
    }
  };

  async #answer(call: Call): Promise<Reply | undefined> {
    const [root, objects, kind = "", name, subresource] = call.path;
    if (root !== "hornbeamrill" || objects !== "objects") {
      throw new ReplyError(404, "no-route");
    }
    this.callsByKind.set(kind, (this.callsByKind.get(kind) ?? 0) + 1);
    if (this.#failByOutage(call)) return undefined;
    if (this.delayMs > 0) await delay(this.delayMs);
    if (call.method === "GET") {
      this.#checkRate(this.#readLimit, this.#rates.readsPerSecond);
      if (name !== undefined)
        return { status: 200, body: this.#read(kind, name) };
      if (call.query.has("watch")) return await this.#watch(call, kind);
      return this.#list(call, kind);
    }
    this.#checkRate(this.#writeLimit, this.#rates.writesPerSecond);
    const body = this.#write(call, kind, { name, subresource });
    if ((this.faults.repliesToLose ?? 0) > 0) {
      this.faults.repliesToLose = (this.faults.repliesToLose ?? 0) - 1;
      call.request.socket.destroy();
      return undefined;
    }
    return { status: 200, body };
  }

  get faults(): StoreFaults {
    return this.#faults;
  }

  /** Also applies to watches that are waiting. */
  set faults(faults: StoreFaults) {
    this.#faults = faults;
    this.#wakeWatches();
  }

  /** Sets an object's spec, as the operator or a replica does. */
  put(kind: string, name: string, spec: unknown): void {
    this.#changeObject(kind, name, (stored) => {
      stored.spec = spec;
    });
  }

  /** Sets an object's spec to bytes that `JSON.stringify` can't create. */
  putRaw(kind: string, name: string, text: string): void {
    const token = `raw-spec-${this.#rawSpecs.size}`;
    this.#rawSpecs.set(token, text);
    this.put(kind, name, token);
  }

  #renderRaw(body: unknown): string | undefined {
    if (this.#rawSpecs.size === 0 || body === undefined) return undefined;
    return JSON.stringify(body).replace(
      /"(raw-spec-\d+)"/g,
      (found, token: string) => this.#rawSpecs.get(token) ?? found,
    );
  }

  putStatus(kind: string, name: string, status: unknown): void {
    this.#changeObject(kind, name, (stored) => {
      stored.status = status;
    });
  }

  delete(kind: string, name: string): void {
    const stored = this.#objects.get(kind)?.get(name);
    if (stored === undefined) return;
    this.#objects.get(kind)?.delete(name);
    this.#revision++;
    stored.metadata.revision = this.#revision;
    this.#recordEvent(kind, stored, true);
  }

  listNames(kind: string): string[] {
    return [...(this.#objects.get(kind)?.keys() ?? [])];
  }

  getSpec(kind: string, name: string): unknown {
    return this.#objects.get(kind)?.get(name)?.spec;
  }

  getStatus(kind: string, name: string): unknown {
    return this.#objects.get(kind)?.get(name)?.status;
  }

  takeCopy(): StoreCopy {
    const kinds = [...this.#objects].map(([kind, objects]) => [
      kind,
      [...objects],
    ]);
    return { revision: this.#revision, objects: JSON.stringify(kinds) };
  }

  /** Comes back from the copy: what was written since is gone. */
  restore({ revision, objects }: StoreCopy): void {
    this.#objects.clear();
    for (const [kind, entries] of JSON.parse(objects) as [
      string,
      [string, StoredObject][],
    ][]) {
      this.#objects.set(kind, new Map(entries));
    }
    this.#revision = revision;
    this.#history = [];
    this.#oldestRevision = revision;
    this.#era++;
    this.#wakeWatches();
  }

  /** Drops the history, so that watches from an older revision get 410. */
  compact(): void {
    this.#history = [];
    this.#oldestRevision = this.#revision;
    this.#wakeWatches();
  }

  #failByOutage(call: Call): boolean {
    const { outage } = this.faults;
    if (outage === "busy") throw new ReplyError(503, "unavailable");
    if (outage === "reset") call.request.socket.resetAndDestroy();
    return outage !== undefined;
  }

  #checkRate(limit: RateLimit, perSecond: number): void {
    if (limit.take(perSecond) > 0) throw new ReplyError(429, "rate-limited");
  }

  #read(kind: string, name: string): StoredObject {
    const stored = this.#objects.get(kind)?.get(name);
    if (stored === undefined) throw new ReplyError(404, "not-found");
    return stored;
  }

  #list(call: Call, kind: string): Reply {
    const after = call.query.get("after") ?? "";
    const names = [...(this.#objects.get(kind)?.keys() ?? [])]
      .filter((name) => name > after)
      .sort();
    const page = names.slice(0, this.objectsPerPage);
    const body = {
      items: page.map((name) => this.#read(kind, name)),
      has_more: names.length > page.length,
      at: this.#revision,
    };
    return { status: 200, body };
  }

  async #watch(call: Call, kind: string): Promise<Reply | undefined> {
    const sinceRevision = Number(call.query.get("watch"));
    const waitMs = Number(call.query.get("wait_ms") ?? 0);
    const endMs = performance.now() + Math.min(MAX_WATCH_MS, waitMs);
    for (;;) {
      if (this.#failByOutage(call)) return undefined;
      const isKnown =
        sinceRevision >= this.#oldestRevision &&
        sinceRevision <= this.#revision;
      if (!isKnown) throw new ReplyError(410, "gone");
      const events = this.faults.hidesChangesFromWatches
        ? []
        : this.#listEvents(kind, sinceRevision);
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return { status: 200, body: { events, at: this.#revision } };
      }
      await this.#waitForChange(leftMs);
    }
  }

  #listEvents(kind: string, sinceRevision: number) {
    return this.#history
      .filter((event) => event.kind === kind && event.revision > sinceRevision)
      .map(({ object, deleted }) => ({ object, deleted }));
  }

  #waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#watchWakers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.#watchWakers.add(wake);
    });
  }

  #write(
    call: Call,
    kind: string,
    { name, subresource }: { name?: string; subresource?: string },
  ): unknown {
    const body: Fields = call.text === "" ? {} : parseJson(call.text);
    const metadata = getFields(body, "metadata");
    const target = name ?? getText(metadata, "name");
    if (target === undefined) throw new ReplyError(400, "bad-request");
    const existing = this.#objects.get(kind)?.get(target);
    if (call.method === "POST" && existing !== undefined) {
      throw new ReplyError(409, "conflict");
    }
    if (call.method !== "POST" && existing === undefined) {
      throw new ReplyError(404, "not-found");
    }
    const revision =
      getNumber(metadata, "revision") ??
      (Number(call.query.get("revision")) || undefined);
    if (
      existing &&
      revision !== undefined &&
      revision !== existing.metadata.revision
    ) {
      throw new ReplyError(409, "conflict");
    }
    if (call.method === "DELETE") {
      this.delete(kind, target);
      return existing;
    }
    return this.#changeObject(kind, target, (stored) => {
      if (subresource === "status") stored.status = body.status;
      else stored.spec = body.spec;
    });
  }

  #changeObject(
    kind: string,
    name: string,
    apply: (stored: StoredObject) => void,
  ): StoredObject {
    const objects = this.#objects.get(kind) ?? new Map<string, StoredObject>();
    this.#objects.set(kind, objects);
    const stored = objects.get(name) ?? this.#createObject(name);
    const before = JSON.stringify([stored.spec, stored.status]);
    const isNew = !objects.has(name);
    apply(stored);
    objects.set(name, stored);
    if (!isNew && before === JSON.stringify([stored.spec, stored.status])) {
      return stored;
    }
    this.#revision++;
    stored.metadata.revision = this.#revision;
    this.#recordEvent(kind, stored, false);
    return stored;
  }

  #createObject(name: string): StoredObject {
    const revision = this.#revision + 1;
    const metadata = { name, revision, created: revision };
    return {
      metadata: { ...metadata, finalizers: [], deleting: false },
      spec: null,
      status: null,
    };
  }

  #recordEvent(kind: string, object: StoredObject, deleted: boolean): void {
    const copy: unknown = JSON.parse(JSON.stringify(object));
    const { revision } = object.metadata;
    this.#history.push({ kind, revision, deleted, object: copy });
    this.#wakeWatches();
  }

  #wakeWatches(): void {
    for (const wake of [...this.#watchWakers]) wake();
  }
}
