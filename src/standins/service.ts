/**
 * Stand-in for the plain services (order, spool release, stock). It records
 * each run, so that a test can detect that a request ran twice.
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { applyOptions, type Options } from "./options.js";
import {
  type Call,
  type Handler,
  parseJson,
  type Reply,
  ReplyError,
} from "./server.js";

export const SERVICE_OPTIONS = {
  slots: 16,
  slotsWhileCold: 4,
  coldStartMs: 0,
  workMs: 10,
  /** Share of runs whose reply is lost after they took effect. */
  loseReplyShare: 0,
  /** Holds calls before their effect while it is true. */
  frozen: false,
} satisfies Options;

/** A run as `GET /record` returns it. */
export interface RunEntry {
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly startAtMs: number;
  endAtMs?: number;
  /** "ran" when the effect took place. */
  outcome: "running" | "ran" | "failed" | "cold-overload";
  replyLost: boolean;
}

const FREEZE_POLL_MS = 10;

export class ServiceStandin {
  readonly #options = { ...SERVICE_OPTIONS };
  readonly #random: () => number;
  readonly #startId: string = randomUUID();
  readonly #runRecords: RunEntry[] = [];
  readonly #running = new Set<RunEntry>();
  readonly #coldOverloads: object[] = [];
  #coldSinceMs = performance.now();
  #maxRunningWhileCold = 0;
  #effectCount = 0;

  constructor(random: () => number, options: object = {}) {
    this.#random = random;
    applyOptions(this.#options, options);
  }

  readonly handle: Handler = async (call) => {
    if (call.path[0] === "control") return this.#control(call);
    if (call.path[0] === "record") return { status: 200, body: this.#report() };
    return this.#run(call);
  };

  #control(call: Call): Reply {
    const { turnCold, ...patch } = parseJson(call.text);
    applyOptions(this.#options, patch);
    if (turnCold === true) {
      this.#coldSinceMs = performance.now();
      if (this.#running.size > this.#options.slotsWhileCold)
        this.#failRunning();
    }
    return { status: 200, body: this.#options };
  }

  #report() {
    const maxRunningWhileCold = this.#maxRunningWhileCold;
    const coldOverloads = this.#coldOverloads;
    const startId = this.#startId;
    return {
      startId,
      maxRunningWhileCold,
      coldOverloads,
      runs: this.#runRecords,
    };
  }

  async #run(call: Call): Promise<Reply | undefined> {
    const entry = createEntry(call);
    this.#admit(entry);
    await sleep(this.#options.workMs / 2);
    while (this.#options.frozen) await sleep(FREEZE_POLL_MS);
    if (entry.outcome === "running") this.#applyEffect(entry);
    await sleep(this.#options.workMs / 2);
    entry.endAtMs = Date.now();
    if (!this.#running.delete(entry)) throw new ReplyError(500, "failed");
    if (entry.replyLost) {
      call.request.socket.destroy();
      return undefined;
    }
    return this.#createReply(entry);
  }

  #admit(entry: RunEntry): void {
    const { slots, slotsWhileCold } = this.#options;
    const running = this.#running.size + 1;
    const sinceColdMs = performance.now() - this.#coldSinceMs;
    if (sinceColdMs < this.#options.coldStartMs) {
      this.#maxRunningWhileCold = Math.max(this.#maxRunningWhileCold, running);
      if (running > slotsWhileCold) {
        this.#failRunning();
        this.#coldOverloads.push({ atMs: Date.now(), sinceColdMs });
        this.#runRecords.push({ ...entry, outcome: "cold-overload" });
        throw new ReplyError(500, "cold-overload");
      }
    }
    if (running > slots) throw new ReplyError(429, "overloaded");
    this.#runRecords.push(entry);
    this.#running.add(entry);
  }

  #applyEffect(entry: RunEntry): void {
    this.#effectCount += 1;
    entry.outcome = "ran";
    entry.replyLost = this.#random() < this.#options.loseReplyShare;
  }

  /** A run that took effect stays "ran", though its caller gets status 500. */
  #failRunning(): void {
    for (const entry of this.#running) {
      if (entry.outcome === "running") entry.outcome = "failed";
    }
    this.#running.clear();
  }

  #createReply(entry: RunEntry): Reply {
    const { requestId, idempotencyKey, service } = entry;
    const run = this.#effectCount;
    const body = { requestId, idempotencyKey, service, path: entry.path, run };
    return { status: 200, body, headers: { "start-id": this.#startId } };
  }
}

function createEntry(call: Call): RunEntry {
  return {
    requestId: String(call.headers["hornbeamrill-request"] ?? ""),
    idempotencyKey: String(call.headers["idempotency-key"] ?? ""),
    service: call.path[0] ?? "",
    method: call.method,
    path: call.path.join("/"),
    startAtMs: Date.now(),
    outcome: "running",
    replyLost: false,
  };
}
