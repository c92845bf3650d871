/**
 * Stand-in for a model engine: streams answers as server-sent events for the
 * versions it has loaded, reports its load with a delay and accepts orders to
 * load and unload versions.
 */

import { randomUUID } from "node:crypto";
import { hashToShare } from "../core/canonical.js";
import { createAnswer } from "./answers.js";
import { type BatchOptions, EngineBatch } from "./engine_batch.js";
import { EngineRun, type RunRecord } from "./engine_run.js";
import { EngineVersions } from "./engine_versions.js";
import { applyOptions, type Options } from "./options.js";
import { countTokens, PrefixCache } from "./prefix_cache.js";
import {
  type Call,
  type Handler,
  parseJson,
  type Reply,
  ReplyError,
} from "./server.js";

export const ENGINE_OPTIONS = {
  slots: 8,
  slotsWhileCold: 2,
  coldStartMs: 0,
  maxQueue: 32,
  /** Decode speed of a slot while no other is in use. */
  tokensPerSecond: 500,
  prefillTokensPerSecond: 20_000,
  speedFactor: 1,
  /** Capacity of the prompt prefix cache. */
  prefixCacheTokens: 100_000,
  /** Tokens of an answer whose request sets no `max_tokens`. */
  outputTokens: 16,
  /** Age of the report that `GET /load` returns. */
  loadLagMs: 0,
  /** Time that an order to load a version takes. */
  loadMs: 200,
  honoursFencing: true,
  /** Versions loaded at the start, separated by commas. */
  versions: "",
  /** Share of acceptable answers, as "version=share,…"; 1 when absent. */
  acceptable: "",
  /** Pauses all running answers while it is true. */
  frozen: false,
} satisfies Options;

const MAX_OUTPUT_TOKENS = 100_000;

interface LoadReport {
  readonly atMs: number;
  readonly coldUntilMs: number;
  readonly startId: string;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly versions: string[];
  readonly loading: string[];
}

export class EngineStandin {
  readonly #options = { ...ENGINE_OPTIONS };
  readonly #startId: string = randomUUID();
  readonly #batch: EngineBatch;
  readonly #versions: EngineVersions;
  readonly #prefixCache: PrefixCache;
  readonly #runRecords: RunRecord[] = [];
  readonly #coldOverloads: object[] = [];
  readonly #badVersions = new Set<string>();
  #loadReports: LoadReport[] = [];
  #coldSinceMs = performance.now();
  #runningAtCold = 0;

  constructor(options: object = {}) {
    applyOptions(this.#options, options);
    const versions = this.#options.versions.split(",").filter(Boolean);
    this.#versions = new EngineVersions(versions, () => this.#addLoadReport());
    this.#prefixCache = new PrefixCache(this.#options.prefixCacheTokens);
    this.#batch = new EngineBatch(this.#options satisfies BatchOptions, () =>
      this.#isCold(),
    );
    this.#addLoadReport();
  }

  readonly handle: Handler = async (call) => {
    switch (`${call.method} /${call.path.join("/")}`) {
      case "POST /v1/chat/completions":
        return this.#complete(call);
      case "GET /load":
        return { status: 200, body: this.#showLoadReport() };
      case "POST /orders":
        return this.#acceptOrder(call);
      case "POST /control":
        return this.#control(call);
      case "GET /record":
        return { status: 200, body: this.#showRecord() };
      default:
        throw new ReplyError(404, "no-route");
    }
  };

  close(): void {
    this.#batch.close();
  }

  #isCold(): boolean {
    return performance.now() < this.#coldSinceMs + this.#options.coldStartMs;
  }

  #complete(call: Call): undefined {
    const body = parseJson(call.text);
    const version = body.model;
    if (typeof version !== "string" || body.stream !== true) {
      throw new ReplyError(400, "bad-request");
    }
    if (!this.#versions.loaded.has(version)) {
      throw new ReplyError(404, "version-not-loaded");
    }
    const run = this.#createRun(call, { version, body });
    const admission = this.#batch.admit(run);
    this.#addLoadReport();
    if (admission === "admitted") {
      call.response.once("close", () => {
        this.#batch.cancel(run);
        run.cancel();
        this.#addLoadReport();
      });
      return undefined;
    }
    if (admission === "queue-full") {
      run.refuse();
      throw new ReplyError(429, "overloaded");
    }
    const atMs = Date.now();
    const sinceColdMs = performance.now() - this.#coldSinceMs;
    this.#coldOverloads.push({ atMs, sinceColdMs });
    run.onFail(admission);
    return undefined;
  }

  #createRun(
    call: Call,
    request: { version: string; body: Record<string, unknown> },
  ): EngineRun {
    const { version, body } = request;
    const prompt = JSON.stringify(body.messages ?? []);
    const requestId = String(call.headers["hornbeamrill-request"] ?? "");
    const maxTokens = Number(body.max_tokens ?? this.#options.outputTokens);
    if (!(maxTokens >= 1 && maxTokens <= MAX_OUTPUT_TOKENS)) {
      throw new ReplyError(400, "bad-request");
    }
    const chunks = createAnswer({
      requestId,
      version,
      chunks: maxTokens,
      acceptable: this.#isAcceptable(requestId, version),
    });
    const promptTokens = countTokens(prompt);
    const cachedTokens = Math.min(promptTokens, this.#prefixCache.add(prompt));
    const run = new EngineRun(call, {
      requestId,
      version,
      startId: this.#startId,
      chunks,
      promptTokens,
      cachedTokens,
    });
    this.#runRecords.push(run.record);
    return run;
  }

  #isAcceptable(requestId: string, version: string): boolean {
    if (this.#badVersions.has(version)) return false;
    const shares = new URLSearchParams(
      this.#options.acceptable.replaceAll(",", "&"),
    );
    const difficulty = hashToShare(`difficulty ${requestId}`);
    return difficulty < Number(shares.get(version) ?? 1);
  }

  #acceptOrder(call: Call): Reply {
    const { kind, version, fence } = parseJson(call.text);
    if (
      (kind !== "load" && kind !== "unload") ||
      typeof version !== "string" ||
      typeof fence !== "number"
    ) {
      throw new ReplyError(400, "bad-request");
    }
    const { honoursFencing: refuseOldFences, loadMs } = this.#options;
    const accepted = this.#versions.accept(
      { kind, version, fence },
      { refuseOldFences, loadMs },
    );
    this.#addLoadReport();
    const startId = this.#startId;
    if (accepted) return { status: 202, body: { startId } };
    const { highestFence } = this.#versions;
    return { status: 409, body: { code: "old-fence", highestFence } };
  }

  #control(call: Call): Reply {
    const { turnCold, turnBad, turnGood, ...patch } = parseJson(call.text);
    applyOptions(this.#options, patch);
    if (typeof turnBad === "string") this.#badVersions.add(turnBad);
    if (typeof turnGood === "string") this.#badVersions.delete(turnGood);
    if (turnCold === true) this.#turnCold();
    this.#addLoadReport();
    return { status: 200, body: this.#options };
  }

  #turnCold(): void {
    this.#coldSinceMs = performance.now();
    this.#runningAtCold = this.#batch.running;
    this.#prefixCache.clear();
    if (this.#batch.running + this.#batch.queued > this.#options.slotsWhileCold)
      this.#batch.failAll("turned-cold");
  }

  #addLoadReport(): void {
    const atMs = performance.now();
    const firstKept = this.#loadReports.findLastIndex(
      (report) => report.atMs <= atMs - this.#options.loadLagMs,
    );
    this.#loadReports.splice(0, Math.max(0, firstKept));
    this.#loadReports.push({
      atMs,
      coldUntilMs: this.#coldSinceMs + this.#options.coldStartMs,
      startId: this.#startId,
      running: this.#batch.running,
      queued: this.#batch.queued,
      slots: this.#options.slots,
      versions: [...this.#versions.loaded],
      loading: this.#versions.loading,
    });
  }

  #showLoadReport(): object {
    this.#addLoadReport();
    const reportedAtMs = performance.now() - this.#options.loadLagMs;
    const shown = this.#loadReports.findLast(
      (report) => report.atMs <= reportedAtMs,
    );
    const { coldUntilMs = 0, ...report } = shown ?? this.#loadReports[0] ?? {};
    return { ...report, cold: Math.max(0, reportedAtMs) < coldUntilMs };
  }

  #showRecord() {
    return {
      startId: this.#startId,
      runs: this.#runRecords,
      orders: this.#versions.record,
      maxRunningWhileCold: this.#batch.maxRunningWhileCold,
      runningAtCold: this.#runningAtCold,
      coldOverloads: this.#coldOverloads,
    };
  }
}
