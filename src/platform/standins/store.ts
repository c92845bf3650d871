/**
 * Stand-in for the platform's object store: kinds and names, one revision
 * counter, conditional writes, lists in pages, watches with a bounded history,
 * and the store's faults.
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

interface Stored {
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

export interface StoreFaults {
  /** Each call gets 503, is reset, or hangs. */
  outage?: "busy" | "reset" | "silent";
  /** The next writes take effect and get no answer. */
  loseReplies?: number;
  /** Watches end with nothing and hear nothing. */
  deaf?: boolean;
}

const PAGE_ITEMS = 500;
const MAX_WAIT_MS = 30_000;

export class PlatformStoreStandin {
  readonly #objects = new Map<string, Map<string, Stored>>();
  readonly #wakers = new Set<() => void>();
  readonly #writes = new RateLimit(() => performance.now());
  readonly #reads = new RateLimit(() => performance.now());
  readonly #rates: { writesPerS: number; readsPerS: number };
  #history: StoreEvent[] = [];
  #revision = 1;
  #oldest = 1;
  #faults: StoreFaults = {};
  /** Objects on one page of a list. */
  pageItems = PAGE_ITEMS;
  /** Time before each answer, ms. */
  delayMs = 0;
  /** Calls by kind of object, refused ones too. */
  readonly calls = new Map<string, number>();

  constructor(rates = { writesPerS: 400, readsPerS: 2_000 }) {
    this.#rates = rates;
  }

  readonly handle: Handler = async (call) => {
    const [root, objects, kind = "", name, part] = call.path;
    if (root !== "hornbeamrill" || objects !== "objects") {
      throw new ReplyError(404, "no-route");
    }
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    if (this.#failByOutage(call)) return undefined;
    if (this.delayMs > 0) await delay(this.delayMs);
    if (call.method === "GET") {
      this.#checkRate(this.#reads, this.#rates.readsPerS);
      if (name !== undefined)
        return { status: 200, body: this.#read(kind, name) };
      if (call.query.has("watch")) return await this.#watch(call, kind);
      return this.#list(call, kind);
    }
    this.#checkRate(this.#writes, this.#rates.writesPerS);
    const body = this.#write(call, kind, { name, part });
    if ((this.faults.loseReplies ?? 0) > 0) {
      this.faults.loseReplies = (this.faults.loseReplies ?? 0) - 1;
      call.request.socket.destroy();
      return undefined;
    }
    return { status: 200, body };
  };

  get faults(): StoreFaults {
    return this.#faults;
  }

  /** Also hits the watches that are waiting. */
  set faults(faults: StoreFaults) {
    this.#faults = faults;
    this.#wake();
  }

  /** Writes as the operator or a replica does. */
  put(kind: string, name: string, spec: unknown): void {
    this.#change(kind, name, (stored) => {
      stored.spec = spec;
    });
  }

  delete(kind: string, name: string): void {
    const stored = this.#objects.get(kind)?.get(name);
    if (stored === undefined) return;
    this.#objects.get(kind)?.delete(name);
    this.#revision++;
    stored.metadata.revision = this.#revision;
    this.#record(kind, stored, true);
  }

  getSpec(kind: string, name: string): unknown {
    return this.#objects.get(kind)?.get(name)?.spec;
  }

  getStatus(kind: string, name: string): unknown {
    return this.#objects.get(kind)?.get(name)?.status;
  }

  /** Forgets the history, so that older watches get 410. */
  compact(): void {
    this.#history = [];
    this.#oldest = this.#revision;
    this.#wake();
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

  #read(kind: string, name: string): Stored {
    const stored = this.#objects.get(kind)?.get(name);
    if (stored === undefined) throw new ReplyError(404, "not-found");
    return stored;
  }

  #list(call: Call, kind: string): Reply {
    const after = call.query.get("after") ?? "";
    const names = [...(this.#objects.get(kind)?.keys() ?? [])]
      .filter((name) => name > after)
      .sort();
    const page = names.slice(0, this.pageItems);
    const body = {
      items: page.map((name) => this.#read(kind, name)),
      has_more: names.length > page.length,
      at: this.#revision,
    };
    return { status: 200, body };
  }

  async #watch(call: Call, kind: string): Promise<Reply | undefined> {
    const since = Number(call.query.get("watch"));
    const waitMs = Number(call.query.get("wait_ms") ?? 0);
    const untilMs = performance.now() + Math.min(MAX_WAIT_MS, waitMs);
    for (;;) {
      if (this.#failByOutage(call)) return undefined;
      if (since < this.#oldest) throw new ReplyError(410, "gone");
      const events = this.faults.deaf ? [] : this.#listEvents(kind, since);
      const leftMs = untilMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return { status: 200, body: { events, at: this.#revision } };
      }
      await this.#waitForChange(leftMs);
    }
  }

  #listEvents(kind: string, since: number) {
    return this.#history
      .filter((event) => event.kind === kind && event.revision > since)
      .map(({ object, deleted }) => ({ object, deleted }));
  }

  #waitForChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        this.#wakers.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, ms);
      this.#wakers.add(settle);
    });
  }

  #write(
    call: Call,
    kind: string,
    { name, part }: { name?: string; part?: string },
  ): unknown {
    const body: Fields = call.text === "" ? {} : parseJson(call.text);
    const metadata = getFields(body, "metadata");
    const target = name ?? getText(metadata, "name");
    if (target === undefined) throw new ReplyError(400, "bad-request");
    const held = this.#objects.get(kind)?.get(target);
    if (call.method === "POST" && held !== undefined) {
      throw new ReplyError(409, "conflict");
    }
    if (call.method !== "POST" && held === undefined) {
      throw new ReplyError(404, "not-found");
    }
    const revision =
      getNumber(metadata, "revision") ??
      (Number(call.query.get("revision")) || undefined);
    if (held && revision !== undefined && revision !== held.metadata.revision) {
      throw new ReplyError(409, "conflict");
    }
    if (call.method === "DELETE") {
      this.delete(kind, target);
      return held;
    }
    return this.#change(kind, target, (stored) => {
      if (part === "status") stored.status = body.status;
      else stored.spec = body.spec;
    });
  }

  #change(kind: string, name: string, apply: (stored: Stored) => void): Stored {
    const objects = this.#objects.get(kind) ?? new Map<string, Stored>();
    this.#objects.set(kind, objects);
    const stored = objects.get(name) ?? this.#create(name);
    const before = JSON.stringify([stored.spec, stored.status]);
    const isNew = !objects.has(name);
    apply(stored);
    objects.set(name, stored);
    if (!isNew && before === JSON.stringify([stored.spec, stored.status])) {
      return stored;
    }
    this.#revision++;
    stored.metadata.revision = this.#revision;
    this.#record(kind, stored, false);
    return stored;
  }

  #create(name: string): Stored {
    const revision = this.#revision + 1;
    const metadata = { name, revision, created: revision };
    return {
      metadata: { ...metadata, finalizers: [], deleting: false },
      spec: null,
      status: null,
    };
  }

  #record(kind: string, object: Stored, deleted: boolean): void {
    const copy: unknown = JSON.parse(JSON.stringify(object));
    const { revision } = object.metadata;
    this.#history.push({ kind, revision, deleted, object: copy });
    this.#wake();
  }

  #wake(): void {
    for (const wake of [...this.#wakers]) wake();
  }
}
