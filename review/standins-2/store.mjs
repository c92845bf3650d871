/**
 * Stand-in of the platform's store, after "The platform's metadata store" in
 * the users' PROTOCOL.md: objects by kind and name, one revision counter,
 * conditional writes, watches. Everything is kept in this process.
 */

import { createServer } from "node:http";
import { performance } from "node:perf_hooks";

/** History that watches may start from, as on the users' sheets. */
const HISTORY_MS = 20_000;
const MAX_WAIT_MS = 30_000;
const PAGE_ITEMS = 500;

export class Store {
  revision = 1;
  #kinds = new Map();
  #history = [];
  #wakers = new Set();
  #server;
  /** One line for each call of an entry. */
  onCall = () => {};
  /** While set, each call is answered with 503: nothing was done. */
  #isDown = false;

  get isDown() {
    return this.#isDown;
  }

  set isDown(isDown) {
    this.#isDown = isDown;
    for (const wake of [...this.#wakers]) wake();
  }

  async start(port, address) {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, address, resolve);
    });
  }

  stop() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  #objects(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  get(kind, name) {
    return this.#objects(kind).get(name);
  }

  /** Creates the object, or replaces its spec; a status stays as it is. */
  put(kind, name, spec) {
    const objects = this.#objects(kind);
    const known = objects.get(name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) return;
    this.revision++;
    objects.set(name, {
      metadata: {
        name,
        revision: this.revision,
        created: known?.metadata.created ?? this.revision,
        finalizers: [],
        deleting: false,
      },
      spec: structuredClone(spec),
      status: known?.status ?? null,
    });
    this.#record(kind, objects.get(name), false);
  }

  putStatus(kind, name, status) {
    const known = this.get(kind, name);
    if (!known) return;
    if (JSON.stringify(known.status) === JSON.stringify(status)) return;
    this.revision++;
    const metadata = { ...known.metadata, revision: this.revision };
    const changed = { ...known, metadata, status: structuredClone(status) };
    this.#objects(kind).set(name, changed);
    this.#record(kind, changed, false);
  }

  remove(kind, name) {
    const known = this.get(kind, name);
    if (!known) return;
    this.revision++;
    this.#objects(kind).delete(name);
    const metadata = { ...known.metadata, revision: this.revision };
    this.#record(kind, { ...known, metadata }, true);
  }

  #record(kind, object, deleted) {
    const atMs = performance.now();
    this.#history.push({ kind, revision: this.revision, object, deleted, atMs });
    const sinceMs = atMs - HISTORY_MS;
    while (this.#history[0].atMs < sinceMs) this.#history.shift();
    for (const wake of [...this.#wakers]) wake();
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const [, root, objects, kind, name, part] = url.pathname
      .split("/")
      .map(decodeURIComponent);
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const send = (status, body) => {
      const text = JSON.stringify(body ?? {});
      response.writeHead(status, {
        "Content-Type": "application/json",
        "Content-Length": Buffer.byteLength(text),
      });
      response.end(text);
    };
    this.onCall(request.method, request.url);
    if (this.#isDown) {
      send(503);
      return;
    }
    if (root !== "hornbeamrill" || objects !== "objects" || !kind) {
      send(404);
      return;
    }
    if (request.method === "GET") {
      if (name) {
        const object = this.get(kind, name);
        send(object ? 200 : 404, object);
      } else if (url.searchParams.has("watch")) {
        await this.#watch(kind, url.searchParams, response, send);
      } else this.#list(kind, url.searchParams, send);
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const body = text === "" ? {} : JSON.parse(text);
    this.#write(request.method, { kind, name, part, body, url, send });
  }

  #list(kind, query, send) {
    const after = query.get("after") ?? "";
    const names = [...this.#objects(kind).keys()]
      .filter((name) => name > after)
      .sort();
    const page = names.slice(0, PAGE_ITEMS);
    const items = page.map((name) => this.get(kind, name));
    const has_more = names.length > page.length;
    send(200, { items, has_more, at: this.revision });
  }

  async #watch(kind, query, response, send) {
    const since = Number(query.get("watch"));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get("wait_ms") ?? 0));
    const endMs = performance.now() + waitMs;
    for (;;) {
      if (this.#isDown) {
        send(503);
        return;
      }
      const oldest = this.#history[0]?.revision ?? this.revision + 1;
      if (since < oldest - 1) {
        send(410);
        return;
      }
      const events = this.#history
        .filter((event) => event.kind === kind && event.revision > since)
        .map(({ object, deleted }) => ({ object, deleted }));
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        send(200, { events, at: this.revision });
        return;
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#wakers.delete(wake);
          response.off("close", wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.#wakers.add(wake);
        response.once("close", wake);
      });
      if (response.destroyed) return;
    }
  }

  #write(method, { kind, name, part, body, url, send }) {
    const target = name ?? body.metadata?.name;
    const known = this.get(kind, target);
    if (method === "POST") {
      if (known) {
        send(409, known);
        return;
      }
      this.put(kind, target, body.spec);
      send(200, this.get(kind, target));
      return;
    }
    if (!known) {
      send(404);
      return;
    }
    const revision =
      body.metadata?.revision ?? (Number(url.searchParams.get("revision")) || undefined);
    if (revision !== undefined && revision !== known.metadata.revision) {
      send(409, known);
      return;
    }
    if (method === "DELETE") this.remove(kind, target);
    else if (part === "status") this.putStatus(kind, target, body.status);
    else this.put(kind, target, body.spec);
    send(200, this.get(kind, target) ?? known);
  }
}
