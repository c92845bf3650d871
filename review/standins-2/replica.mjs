/**
 * Stand-in of a replica, after "Requests", "Answers" and "Replicas" in the
 * users' PROTOCOL.md. It keeps the time of each request that reaches it, and
 * registers itself in the store by a beat.
 */

import { createServer } from "node:http";
import { performance } from "node:perf_hooks";

const BEAT_MS = 1_200;

export class Replica {
  /** {atMs, sentAtMs, id, status, ran, body} of each request but health checks. */
  arrivals = [];
  #server;
  #store;
  #running = 0;
  #beatTimer;
  #seq = 0;
  #isCut = false;
  #coldUntilMs;

  /**
   * `options`: id, service, zone, version, slots, workMs, coldMs, isBad() to
   * fail a request, badStatus, coldCrashPerS, loseBeat(write) to take over a beat whose answer is lost.
   */
  constructor(options) {
    this.options = { version: "v1", slots: 64, workMs: 20, coldMs: 0, ...options };
    this.state = "ready";
    this.born = Date.now();
  }

  async start(port, address) {
    this.address = `${address}:${port}`;
    this.#coldUntilMs = performance.now() + this.options.coldMs;
    this.#server = createServer((request, response) => {
      this.#answer(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 30_000;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, address, resolve);
    });
  }

  /** Registers the replica and goes on with its beat. */
  register(store) {
    this.#store = store;
    this.beat();
    this.#beatTimer = setInterval(() => this.beat(), BEAT_MS);
  }

  createSpec() {
    this.#seq++;
    const { service, zone, version, slots } = this.options;
    const coldLeftMs = Math.max(0, this.#coldUntilMs - performance.now());
    return {
      service,
      addr: this.address,
      zone,
      version,
      slots,
      state: this.state,
      cold_left_ms: Math.round(coldLeftMs),
      seq: this.#seq,
      born: this.born,
    };
  }

  get isCold() {
    return performance.now() < this.#coldUntilMs;
  }

  beat() {
    if (this.#isCut || this.#store.isDown) return;
    const spec = this.createSpec();
    const { id, loseBeat } = this.options;
    if (loseBeat?.(spec)) return;
    this.#store.put("servers", id, spec);
  }

  /** Says that it leaves, now; goes on to serve until `stop`. */
  drain() {
    this.state = "draining";
    clearInterval(this.#beatTimer);
    this.beat();
    this.#beatTimer = setInterval(() => this.beat(), BEAT_MS);
  }

  stop() {
    this.crash();
    this.#store?.remove("servers", this.options.id);
  }

  /** Ends without a word: the store still has its entry. */
  crash() {
    this.#isCut = true;
    clearInterval(this.#beatTimer);
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  #crashIfRushed({ atMs, isCold }) {
    const { coldCrashPerS, onCrash } = this.options;
    if (!isCold || coldCrashPerS === undefined || this.#isCut) return;
    const recent = this.arrivals.filter((one) => one.atMs > atMs - 1_000);
    if (recent.length <= coldCrashPerS) return;
    this.crash();
    onCrash?.();
  }

  async #answer(request, response) {
    const atMs = performance.now();
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { id, slots, workMs, isBad, badStatus = 500 } = this.options;
    const load = `${this.#running},0,${slots}`;
    if (request.url === "/healthz") {
      const isWell = this.state === "ready";
      const head = { "Replica-Id": id, "Replica-Load": load, "Content-Length": 0 };
      response.writeHead(isWell ? 200 : 503, head);
      response.end();
      return;
    }
    const { headers } = request;
    const attempt = headers["attempt-id"];
    const arrival = {
      atMs,
      // The stand-in client says when it sent the request.
      sentAtMs: Number(headers["x-sent-ms"] ?? atMs),
      id: attempt,
      ran: false,
      status: 0,
      session: headers.session,
      isCold: this.isCold,
    };
    this.arrivals.push(arrival);
    this.#crashIfRushed(arrival);
    if (this.#isCut) return;
    const refuse = (status) => {
      arrival.status = status;
      response.writeHead(status, {
        "Attempt-Id": attempt ?? "",
        "Not-Executed": "1",
        "Replica-Id": id,
        "Replica-Load": load,
        "Content-Length": 0,
      });
      response.end();
    };
    if (attempt === undefined) return refuse(400);
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== id) return refuse(421);
    if (this.#running >= slots) return refuse(503);
    this.#running++;
    arrival.ran = true;
    response.once("close", () => this.#running--);
    await new Promise((resolve) => setTimeout(resolve, workMs));
    if (response.destroyed) return;
    const isFailure = isBad?.() ?? false;
    arrival.status = isFailure ? badStatus : 200;
    const text = `answer of ${id} to ${attempt}\n`;
    const isLeaving = this.state === "draining";
    response.writeHead(arrival.status, {
      "Attempt-Id": attempt,
      "Server-Stamp": `${id}.${attempt}`,
      "Replica-Load": load,
      "Content-Type": "text/plain",
      "Content-Length": Buffer.byteLength(text),
      ...(isLeaving ? { Connection: "close" } : {}),
    });
    response.end(text);
  }
}
