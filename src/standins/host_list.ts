/** Stand-in for the platform's host list, which shows changes with a delay. */

import { createHash } from "node:crypto";
import { applyOptions, type Options } from "./options.js";
import {
  type Call,
  type Handler,
  parseJson,
  type Reply,
  ReplyError,
} from "./server.js";

export const HOST_LIST_OPTIONS = {
  /** Age of the list that `GET /hosts` returns. */
  lagMs: 0,
} satisfies Options;

interface Change {
  readonly atMs: number;
  readonly name: string;
  /** Absent when the host was deleted. */
  readonly host?: Record<string, unknown>;
}

export class HostListStandin {
  readonly #options = { ...HOST_LIST_OPTIONS };
  /** Oldest first. */
  readonly #changes: Change[] = [];

  constructor(options: object = {}) {
    applyOptions(this.#options, options);
  }

  readonly handle: Handler = async (call) => {
    const [root, name] = call.path;
    if (root === "control" && call.method === "POST") {
      applyOptions(this.#options, parseJson(call.text));
      return { status: 200, body: this.#options };
    }
    if (root === "record") {
      return { status: 200, body: { changes: this.#changes } };
    }
    if (root !== "hosts") throw new ReplyError(404, "no-route");
    if (call.method === "GET") return this.#sendList(call);
    if (call.method === "POST") return this.#putHost(parseJson(call.text));
    if (call.method !== "DELETE" || name === undefined) {
      throw new ReplyError(405, "no-route");
    }
    this.#changes.push({ atMs: Date.now(), name });
    return { status: 200, body: {} };
  };

  /** Answers 304 to a caller that has the current list. */
  #sendList(call: Call): Reply {
    const hosts = this.#listHosts();
    const hash = createHash("sha256").update(JSON.stringify(hosts));
    const etag = `"${hash.digest("hex").slice(0, 16)}"`;
    const headers = { etag };
    if (call.headers["if-none-match"] === etag) {
      return { status: 304, body: undefined, headers };
    }
    return { status: 200, body: { hosts }, headers };
  }

  #putHost(host: Record<string, unknown>) {
    if (typeof host.name !== "string") throw new ReplyError(400, "bad-request");
    this.#changes.push({ atMs: Date.now(), name: host.name, host });
    return { status: 200, body: {} };
  }

  #listHosts(): Record<string, unknown>[] {
    const listedAtMs = Date.now() - this.#options.lagMs;
    const hosts = new Map<string, Record<string, unknown>>();
    for (const change of this.#changes) {
      if (change.atMs > listedAtMs) break;
      hosts.delete(change.name);
      if (change.host !== undefined) hosts.set(change.name, change.host);
    }
    return [...hosts.values()];
  }
}
