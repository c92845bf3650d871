/**
 * Stand-in for the object store: versioned values by key, conditional writes,
 * lists and watches, with rate limits and faults. Data survive an outage.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { applyOptions, type Options } from "./options.js";
import { RateLimit } from "./rate_limit.js";
import {
  type Call,
  type Handler,
  parseJson,
  type Reply,
  ReplyError,
} from "./server.js";

export const OBJECT_STORE_OPTIONS = {
  writesPerSecond: 400,
  readsPerSecond: 2_000,
  maxValueBytes: 1_000_000,
  /** "none", or how every call fails: "refuse", "reset" or "hang". */
  outage: "none",
  /** Delay of each call, half before its effect and half after it. */
  delayMs: 0,
  /** Share of writes whose reply is lost after they took effect. */
  loseReplyShare: 0,
} satisfies Options;

/** Shorthand values of the option `outage` in a control call. */
const OUTAGE_ALIASES: Record<string, string> = {
  true: "refuse",
  false: "none",
};

interface StoredObject {
  version: number;
  value: unknown;
  bytes: number;
}

interface WriteEntry {
  readonly atMs: number;
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
  readonly replyLost: boolean;
}

const DEFAULT_PAGE_OBJECTS = 100;
const MAX_PAGE_OBJECTS = 1_000;
/** Limits a page of large values, though it has at least one object. */
const MAX_PAGE_BYTES = 4_000_000;
const MAX_WATCH_MS = 60_000;
/** Time until the connection of a call that hangs in an outage is closed. */
const HANG_MS = 60_000;

export class ObjectStoreStandin {
  readonly #options = { ...OBJECT_STORE_OPTIONS };
  readonly #random: () => number;
  readonly #objects = new Map<string, StoredObject>();
  readonly #writeRecord: WriteEntry[] = [];
  readonly #watchWakers = new Set<() => void>();
  readonly #writeLimit = new RateLimit(performance.now.bind(performance));
  readonly #readLimit = new RateLimit(performance.now.bind(performance));

  constructor(random: () => number, options: object = {}) {
    this.#random = random;
    applyOptions(this.#options, options);
  }

  readonly handle: Handler = async (call) => {
    const [root, ...rest] = call.path;
    if (root === "control" && call.method === "POST")
      return this.#control(call);
    if (root === "record" && call.method === "GET") {
      const after = Number(call.query.get("after") ?? 0);
      return { status: 200, body: { writes: this.#writeRecord.slice(after) } };
    }
    if (root !== "objects") throw new ReplyError(404, "no-route");
    if (await this.#failByOutage(call)) return undefined;
    if (call.method === "PUT") return this.#write(call, rest.join("/"));
    if (call.method !== "GET") throw new ReplyError(405, "no-route");
    this.#checkRate(this.#readLimit, this.#options.readsPerSecond);
    if (rest.length === 0)
      return this.#applyWithFaults(call, () => this.#list(call));
    if (call.query.has("waitMs")) return this.#watch(call, rest.join("/"));
    return this.#applyWithFaults(call, () => this.#read(rest.join("/")));
  };

  #control(call: Call): Reply {
    const { outage, ...patch } = parseJson(call.text);
    if (outage !== undefined) {
      Object.assign(patch, {
        outage: OUTAGE_ALIASES[String(outage)] ?? outage,
      });
    }
    applyOptions(this.#options, patch);
    this.#wakeWatches();
    return { status: 200, body: this.#options };
  }

  #checkRate(limit: RateLimit, perSecond: number): void {
    const waitMs = limit.take(perSecond);
    if (waitMs === 0) return;
    throw new ReplyError(429, "rate-limited", {
      "retry-after-ms": `${waitMs}`,
    });
  }

  async #applyWithFaults(
    call: Call,
    apply: () => Reply,
    loseReply = false,
  ): Promise<Reply | undefined> {
    await sleep(this.#options.delayMs / 2);
    if (await this.#failByOutage(call)) return undefined;
    const reply = apply();
    if (loseReply && reply.status === 200) {
      call.request.socket.destroy();
      return undefined;
    }
    await sleep(this.#options.delayMs / 2);
    return reply;
  }

  /** True if an outage closed the connection; the call then has no effect. */
  async #failByOutage(call: Call): Promise<boolean> {
    const { outage } = this.#options;
    if (outage === "none") return false;
    if (outage === "refuse") throw new ReplyError(503, "outage");
    if (outage === "hang") await sleep(HANG_MS, undefined, { ref: false });
    call.request.socket.destroy();
    return true;
  }

  async #write(call: Call, key: string): Promise<Reply | undefined> {
    this.#checkRate(this.#writeLimit, this.#options.writesPerSecond);
    const { value, ifVersion } = parseJson(call.text);
    if (value === undefined || typeof ifVersion !== "number") {
      throw new ReplyError(400, "bad-request");
    }
    const bytes = Buffer.byteLength(JSON.stringify(value));
    if (bytes > this.#options.maxValueBytes) {
      throw new ReplyError(413, "too-large");
    }
    const replyLost = this.#random() < this.#options.loseReplyShare;
    return this.#applyWithFaults(
      call,
      () => this.#put({ key, ifVersion, replyLost }, { value, bytes }),
      replyLost,
    );
  }

  #put(
    target: { key: string; ifVersion: number; replyLost: boolean },
    content: { value: unknown; bytes: number },
  ): Reply {
    const { key, ifVersion, replyLost } = target;
    const current = this.#objects.get(key)?.version ?? 0;
    if (current !== ifVersion) {
      return { status: 409, body: { code: "conflict", version: current } };
    }
    const version = current + 1;
    this.#objects.set(key, { version, ...content });
    const { value } = content;
    this.#writeRecord.push({
      atMs: Date.now(),
      key,
      version,
      value,
      replyLost,
    });
    this.#wakeWatches();
    return { status: 200, body: { version } };
  }

  #read(key: string): Reply {
    const stored = this.#objects.get(key);
    if (stored === undefined) return { status: 404, body: { code: "absent" } };
    const { version, value } = stored;
    return { status: 200, body: { key, version, value } };
  }

  #list(call: Call): Reply {
    const prefix = call.query.get("prefix") ?? "";
    const after = call.query.get("after") ?? "";
    const limit = Number(call.query.get("limit") ?? DEFAULT_PAGE_OBJECTS);
    const keys = [...this.#objects.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const objects = [];
    let bytes = 0;
    for (const key of keys.slice(0, Math.min(limit, MAX_PAGE_OBJECTS))) {
      const stored = this.#objects.get(key);
      if (stored === undefined) continue;
      bytes += stored.bytes;
      if (objects.length > 0 && bytes > MAX_PAGE_BYTES) break;
      objects.push({ key, version: stored.version, value: stored.value });
    }
    const more = objects.length < keys.length;
    return { status: 200, body: { objects, more } };
  }

  async #watch(call: Call, key: string): Promise<Reply | undefined> {
    const version = Number(call.query.get("version") ?? 0);
    const waitMs = Math.min(Number(call.query.get("waitMs")), MAX_WATCH_MS);
    const endMs = performance.now() + waitMs;
    while (!call.response.destroyed) {
      if (await this.#failByOutage(call)) return undefined;
      const changed = (this.#objects.get(key)?.version ?? 0) !== version;
      const leftMs = endMs - performance.now();
      if (changed || leftMs <= 0) break;
      await this.#waitForChange(call, leftMs);
    }
    return this.#applyWithFaults(call, () => this.#read(key));
  }

  /** Resolves on a write, control call, timeout or closed connection. */
  #waitForChange(call: Call, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#watchWakers.delete(wake);
        call.response.off("close", wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.#watchWakers.add(wake);
      call.response.once("close", wake);
    });
  }

  #wakeWatches(): void {
    for (const wake of [...this.#watchWakers]) wake();
  }
}
