/**
 * Small stand-ins for the parts around the entry: the platform's store, a
 * proxy whose open connections can go silent, replicas of a plain service, and
 * clients. They do what PROTOCOL.md and DEPLOY.md say, and nothing else.
 */

import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync, createWriteStream } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const REPOSITORY = resolve(
  dirname(fileURLToPath(import.meta.url)),
  "../..",
);
export const now = () => performance.now();
export const sleep = (ms) =>
  new Promise((done) => setTimeout(done, Math.max(0, ms)));

const FIRST_PORT = 12_000;
const PORTS_PER_PROCESS = 50;
const MAX_PROCESSES = 380;
let nextPort =
  FIRST_PORT + PORTS_PER_PROCESS * (process.pid % MAX_PROCESSES);

/** A port that is free now, below those that the system gives to clients. */
export async function findFreePort() {
  for (;;) {
    const port = nextPort++;
    const isFree = await new Promise((done) => {
      const server = net.createServer();
      server.once("error", () => done(false));
      server.listen(port, "127.0.0.1", () => server.close(() => done(true)));
    });
    if (isFree) return port;
  }
}

/** The platform's store: objects by kind and name, lists and watches. */
export class Store {
  #kinds = new Map();
  #history = [];
  #revision = 10;
  #waiting = new Set();
  #server;
  /** Time of an answer, ms. */
  delayMs = 4;

  async start() {
    this.#server = http.createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#server.keepAliveTimeout = 60_000;
    this.port = await listen(this.#server);
  }

  /** Returns when the store has acknowledged the change. */
  put(kind, name, spec) {
    const known = this.#objects(kind).get(name);
    const revision = ++this.#revision;
    const object = {
      metadata: {
        name,
        revision,
        created: known?.metadata.created ?? revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: known?.status ?? {},
    };
    this.#objects(kind).set(name, object);
    this.#record(kind, object, false);
    return now();
  }

  delete(kind, name) {
    const object = this.#objects(kind).get(name);
    if (object === undefined) return now();
    this.#objects(kind).delete(name);
    this.#revision++;
    this.#record(kind, object, true);
    return now();
  }

  #objects(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  #record(kind, object, deleted) {
    const copy = structuredClone(object);
    this.#history.push({ kind, at: this.#revision, object: copy, deleted });
    for (const wake of [...this.#waiting]) wake();
  }

  async #handle(request, response) {
    const chunks = [];
    request.on("error", () => {});
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, "http://store");
    const [, , , kind, name, sub] = url.pathname.split("/");
    await sleep(this.delayMs);
    const reply = (status, body) => {
      const text = JSON.stringify(body);
      response.writeHead(status, {
        "Content-Type": "application/json",
        "Content-Length": Buffer.byteLength(text),
      });
      response.end(text);
    };
    const objects = this.#objects(kind);
    if (request.method === "GET" && url.searchParams.has("watch")) {
      await this.#watch(kind, url.searchParams, response, reply);
    } else if (request.method === "GET" && name !== undefined) {
      const object = objects.get(decodeURIComponent(name));
      if (object === undefined) reply(404, {});
      else reply(200, object);
    } else if (request.method === "GET") {
      reply(200, {
        items: [...objects.values()],
        has_more: false,
        at: this.#revision,
      });
    } else if (request.method === "DELETE") {
      this.delete(kind, decodeURIComponent(name));
      reply(200, {});
    } else {
      this.#write(kind, { name, sub }, Buffer.concat(chunks), reply, request);
    }
  }

  #write(kind, { name, sub }, data, reply, { method }) {
    const body = JSON.parse(data.toString());
    const key = name === undefined ? body.metadata.name : decodeURIComponent(name);
    const known = this.#objects(kind).get(key);
    if (method === "POST" && known) return reply(409, known);
    if (method === "PUT" && !known) return reply(404, {});
    const asked = body.metadata?.revision;
    if (known && asked !== undefined && asked !== known.metadata.revision)
      return reply(409, known);
    if (sub === "status") {
      known.status = body.status;
      known.metadata.revision = ++this.#revision;
      this.#record(kind, known, false);
    } else this.put(kind, key, body.spec);
    reply(200, this.#objects(kind).get(key));
  }

  async #watch(kind, query, response, reply) {
    const since = Number(query.get("watch"));
    const endMs = now() + Math.min(30_000, Number(query.get("wait_ms") ?? 0));
    for (;;) {
      const events = this.#history
        .filter((event) => event.kind === kind && event.at > since)
        .map(({ object, deleted }) => ({ object, deleted }));
      if (response.destroyed) return;
      if (events.length > 0 || now() >= endMs) {
        reply(200, { events, at: this.#revision });
        return;
      }
      await new Promise((done) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          done();
        };
        const timer = setTimeout(wake, endMs - now());
        this.#waiting.add(wake);
      });
    }
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** A TCP proxy. Its open connections can go silent while new ones work. */
export class Proxy {
  #pairs = new Set();
  #server;

  async start(targetPort) {
    this.#server = net.createServer((inner) => {
      const outer = net.connect(targetPort, "127.0.0.1");
      const pair = { inner, outer, isSilent: false };
      this.#pairs.add(pair);
      const link = (from, to) => {
        from.on("data", (data) => {
          if (!pair.isSilent) to.write(data);
        });
        from.on("end", () => {
          if (!pair.isSilent) to.end();
        });
        from.on("error", () => {
          if (!pair.isSilent) to.destroy();
        });
        from.on("close", () => {
          if (pair.isSilent) return;
          to.destroy();
          this.#pairs.delete(pair);
        });
      };
      link(inner, outer);
      link(outer, inner);
    });
    this.port = await listen(this.#server);
  }

  /** From now on the open connections carry nothing, not even their end. */
  silenceOpenConnections() {
    let count = 0;
    for (const pair of this.#pairs) {
      if (!pair.isSilent) count++;
      pair.isSilent = true;
    }
    return count;
  }

  close() {
    this.#server.close();
    for (const { inner, outer } of this.#pairs) {
      inner.destroy();
      outer.destroy();
    }
  }
}

function listen(server, port = 0) {
  return new Promise((done, fail) => {
    server.once("error", fail);
    server.listen(port, "127.0.0.1", () => done(server.address().port));
  });
}

/** A replica of a plain service, each start with an id of its own. */
export class Replica {
  static #count = 0;
  /** Requests that arrived and were not refused. */
  arrivals = [];
  #server;
  #work = 0;
  isLeaving = false;
  isEnded = false;
  /** Status of the answer to a request; a faulty replica gives a wrong one. */
  chooseStatus = () => 200;

  constructor({ service, zone, store, slots, workMs }) {
    this.id = `i-${String(++Replica.#count).padStart(4, "0")}`;
    this.options = { service, zone, store, slots, workMs };
  }

  async start() {
    this.#server = http.createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#server.keepAliveTimeout = 30_000;
    this.port = await listen(this.#server);
    this.bornMs = Date.now();
    this.#register("ready");
  }

  #register(state) {
    const { service, zone, store, slots } = this.options;
    return store.put("servers", this.id, {
      service,
      addr: `127.0.0.1:${this.port}`,
      zone,
      version: "v1",
      slots,
      state,
      cold_left_ms: 0,
      seq: 1,
      born: this.bornMs,
    });
  }

  /** Reports that it leaves; returns when the store acknowledged that. */
  leave() {
    this.isLeaving = true;
    return this.#register("draining");
  }

  /** Exits as a process does: what still runs is cut. */
  exit() {
    this.isEnded = true;
    this.#server.close();
    this.#server.closeAllConnections();
    this.options.store.delete("servers", this.id);
  }

  async #handle(request, response) {
    const { workMs, slots } = this.options;
    const chunks = [];
    request.on("error", () => {});
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const id = request.headers["attempt-id"] ?? "";
    const head = {
      "Attempt-Id": id,
      "Replica-Id": this.id,
      "Replica-Load": `${Math.min(this.#work, slots)},${Math.max(0, this.#work - slots)},${slots}`,
      ...(this.isLeaving ? { Connection: "close" } : {}),
    };
    const refuse = (status) => {
      response.writeHead(status, {
        ...head,
        "Not-Executed": "1",
        "Content-Length": 0,
      });
      response.end();
    };
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) return refuse(421);
    if (this.#work >= slots + 24) return refuse(503);
    this.#work++;
    const arrival = { id, atMs: now(), path: request.url, state: "running" };
    this.arrivals.push(arrival);
    await sleep(workMs);
    this.#work--;
    if (this.isEnded || response.destroyed) {
      arrival.state = "cut";
      return;
    }
    arrival.state = "done";
    const body = `answer to ${id}\n`;
    const status = this.chooseStatus(id);
    const fields = {
      ...head,
      "Server-Stamp": `stamp.${this.id}`,
      "Content-Type": "text/plain",
      "Content-Length": Buffer.byteLength(body),
    };
    if (status !== 200) replaceStatus(response.socket, status);
    response.writeHead(200, fields);
    response.end(body);
  }
}

/** Spoils the status line of the answer that is written next. */
function replaceStatus(socket, status) {
  const { write } = socket;
  socket.write = (data, ...rest) => {
    socket.write = write;
    const text = String(data).replace("HTTP/1.1 200", `HTTP/1.1 ${status}`);
    return write.call(socket, text, ...rest);
  };
}

/** Processes that still run; they end with the script, however it ends. */
const children = new Set();
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const name of ["SIGTERM", "SIGINT"]) process.on(name, () => process.exit(2));

/** One entry, started with the command of the deploy file. */
export class Entry {
  #child;

  constructor({ name, zone, storePort, folder, seeds, ports, bounds }) {
    Object.assign(this, { name, zone, storePort, folder, seeds, ports, bounds });
  }

  start() {
    const { front, ready, control, metrics } = this.ports;
    const lines = [
      `node_name = "${this.name}"`,
      'role = "entry"',
      'machine_class = "front"',
      'serves = ["front","control"]',
      'ip = "127.0.0.1"',
      `zone = "${this.zone}"`,
      'region = "tw-central"',
      `port_range = [${metrics},${metrics}]`,
      `seeds = [${this.seeds.map((seed) => `"${seed}"`).join(",")}]`,
      "bootstrap = true",
      'discovery = "platform"',
      'entry = "vip"',
      "heartbeat_ms = 1200",
      "[listen]",
      `front = "127.0.0.1:${front}"`,
      `ready = "127.0.0.1:${ready}"`,
      `control = "127.0.0.1:${control}"`,
      "[bounds]",
      ...Object.entries(this.bounds).map(([key, value]) => `${key} = ${value}`),
      "[platform]",
      `addr = "127.0.0.1:${this.storePort}"`,
      'form = "objects"',
      "",
    ];
    const file = join(this.folder, `${this.name}.toml`);
    writeFileSync(file, lines.join("\n"));
    const { PATH, HOME, LANG } = process.env;
    const command = [
      "node",
      "--max-semi-space-size=2",
      "--max-old-space-size=96",
      "target/entry.cjs",
      `127.0.0.1:${front}`,
    ];
    // The limit on descriptors is one of the machine, as in the settings.
    const limited = `ulimit -n ${this.maxFds ?? 4_100}; exec ${command.join(" ")}`;
    this.#child = spawn(
      "/bin/sh",
      ["-c", limited],
      {
        cwd: REPOSITORY,
        env: { PATH, HOME, LANG, HORNBEAMRILL_NODE_FILE: file },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    const log = createWriteStream(join(this.folder, `${this.name}.log`), {
      flags: "a",
    });
    this.#child.stdout.pipe(log);
    this.#child.stderr.pipe(log);
    const child = this.#child;
    children.add(child);
    this.exited = new Promise((done) => {
      child.once("exit", (code, signal) => {
        children.delete(child);
        done({ code, signal });
      });
    });
  }

  async waitUntilReady(timeoutMs = 10_000) {
    const endMs = now() + timeoutMs;
    while (now() < endMs) {
      const status = await getStatus(this.ports.ready, "/hornbeamrill/readyz");
      if (status === 200) return true;
      await sleep(50);
    }
    return false;
  }

  get pid() {
    return this.#child.pid;
  }

  signal(name) {
    this.#child.kill(name);
  }
}

function getStatus(port, path) {
  return new Promise((done) => {
    const request = http.get(
      { host: "127.0.0.1", port, path, agent: false, timeout: 1_000 },
      (response) => {
        response.resume();
        done(response.statusCode);
      },
    );
    request.on("timeout", () => request.destroy());
    request.on("error", () => done(0));
  });
}

/** One client attempt; resolves to what the client saw. */
export function sendRequest({ agent, port, method, host, path, key, id, deadlineMs, body = "", headers = {} }) {
  const sentMs = now();
  return new Promise((done) => {
    let status = 0;
    let text = "";
    let answerHeaders = {};
    const end = (problem) => {
      clearTimeout(timer);
      done({ id, path, sentMs, endMs: now(), status, text, problem, headers: answerHeaders });
    };
    const request = http.request(
      {
        agent,
        host: "127.0.0.1",
        port,
        method,
        path,
        headers: {
          Host: host,
          "Attempt-Id": id,
          "Deadline-Ms": String(deadlineMs),
          ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }),
          ...(method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) }),
          ...headers,
        },
      },
      (response) => {
        status = response.statusCode;
        answerHeaders = response.headers;
        response.setEncoding("utf8");
        response.on("data", (chunk) => {
          text += chunk;
        });
        response.on("end", () => end(response.complete ? "" : "incomplete"));
        response.on("error", (error) => end(error.message));
      },
    );
    const timer = setTimeout(
      () => request.destroy(new Error("deadline")),
      deadlineMs,
    );
    request.on("error", (error) => end(error.message));
    request.end(body);
  });
}

export function makeFolder() {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const remove = () => rmSync(folder, { recursive: true, force: true });
  return { folder, remove };
}
