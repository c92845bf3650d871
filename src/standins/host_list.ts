/** Stand-in for the platform's list of hosts, which lags behind changes. */

import { applyOptions, type Options } from "./options.js";
import { type Handler, parseJson, ReplyError } from "./server.js";

export const HOST_LIST_OPTIONS = {
  /** Age of the list that `GET /hosts` shows. */
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
    if (call.method === "GET") {
      return { status: 200, body: { hosts: this.#listHosts() } };
    }
    if (call.method === "POST") return this.#put(parseJson(call.text));
    if (call.method !== "DELETE" || name === undefined) {
      throw new ReplyError(405, "no-route");
    }
    this.#changes.push({ atMs: Date.now(), name });
    return { status: 200, body: {} };
  };

  #put(host: Record<string, unknown>) {
    if (typeof host.name !== "string") throw new ReplyError(400, "bad-request");
    this.#changes.push({ atMs: Date.now(), name: host.name, host });
    return { status: 200, body: {} };
  }

  #listHosts(): Record<string, unknown>[] {
    const shownMs = Date.now() - this.#options.lagMs;
    const hosts = new Map<string, Record<string, unknown>>();
    for (const change of this.#changes) {
      if (change.atMs > shownMs) break;
      hosts.delete(change.name);
      if (change.host !== undefined) hosts.set(change.name, change.host);
    }
    return [...hosts.values()];
  }
}
