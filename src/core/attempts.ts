/**
 * The gate's memory of attempts. It is bounded in count, bytes and time, and
 * still never lets a non-idempotent attempt start twice.
 */

import type { DispatchRequest, Priority } from "../schema/index.js";
import { assertInvariant, createRefusal, type Refusal } from "./errors.js";
import { FrameLog } from "./frames.js";

/** A dispatch after its fields were checked. */
export interface GateRequest
  extends Omit<DispatchRequest, "body" | "priority"> {
  readonly priority: Priority;
}

export type AttemptState = "fetching" | "queued" | "running" | "ended";

export interface Attempt {
  readonly key: string;
  readonly request: GateRequest;
  readonly deadlineAtMs: number;
  readonly frames: FrameLog;
  /** False when the dispatch or the fleet state says so. */
  idempotent: boolean;
  state: AttemptState;
  startedAtMs: number | undefined;
  endedAtMs: number | undefined;
}

/** What is left of a non-idempotent attempt that the memory has dropped. */
export type SpentState = "started" | "never-started";

/** States of `LookUpAttemptReply`. */
export type LookUpState = "revoked" | "running" | "ended" | "other-epoch";

export interface MemoryLimits {
  /** Ended attempts kept with their frames. */
  readonly maxEnded: number;
  readonly maxBytes: number;
  readonly keepEndedMs: number;
  /** Non-idempotent or revoked attempts remembered by key in one epoch. */
  readonly maxSpent: number;
}

export const DEFAULT_MEMORY_LIMITS: MemoryLimits = {
  maxEnded: 5_000,
  maxBytes: 12_000_000,
  keepEndedMs: 120_000,
  // About 100 bytes each, so at most 5 MB of the node's 128 MB.
  maxSpent: 50_000,
};

export function createAttemptKey(requestId: string, attempt: number): string {
  return `${requestId}/${attempt}`;
}

export class AttemptMemory {
  readonly #limits: MemoryLimits;
  readonly #attempts = new Map<string, Attempt>();
  /** Ended attempts, oldest first. */
  readonly #ended = new Map<string, Attempt>();
  #spent = new Map<string, SpentState>();
  /** Keys of the epoch before, so that its revocations still hold. */
  #previousSpent = new Map<string, SpentState>();
  #endedBytes = 0;

  constructor(limits: MemoryLimits = DEFAULT_MEMORY_LIMITS) {
    this.#limits = limits;
  }

  get size(): number {
    return this.#attempts.size;
  }

  get spentSize(): number {
    return this.#spent.size;
  }

  /** True when only a new epoch makes room for more non-idempotent work. */
  get isSpentFull(): boolean {
    return this.#spent.size >= this.#limits.maxSpent;
  }

  find(key: string): Attempt | undefined {
    return this.#attempts.get(key);
  }

  findSpent(key: string): SpentState | undefined {
    return this.#spent.get(key) ?? this.#previousSpent.get(key);
  }

  add(request: GateRequest, deadlineAtMs: number): Attempt {
    const key = createAttemptKey(request.requestId, request.attempt);
    assertInvariant(
      !this.#attempts.has(key) && this.findSpent(key) === undefined,
      "ranTwice",
      `attempt "${key}" was added twice`,
    );
    const attempt: Attempt = {
      key,
      request,
      deadlineAtMs,
      frames: new FrameLog(request.requestId, request.attempt),
      idempotent: request.idempotent,
      state: "fetching",
      startedAtMs: undefined,
      endedAtMs: undefined,
    };
    this.#attempts.set(key, attempt);
    return attempt;
  }

  markStarted(attempt: Attempt, nowMs: number): void {
    assertInvariant(
      attempt.state !== "running" &&
        attempt.state !== "ended" &&
        this.findSpent(attempt.key) === undefined,
      "ranTwice",
      `attempt "${attempt.key}" started again`,
    );
    attempt.state = "running";
    attempt.startedAtMs = nowMs;
    if (!attempt.idempotent) this.#spent.set(attempt.key, "started");
  }

  /** Ends an attempt, whether it ran or was refused. */
  markEnded(attempt: Attempt, nowMs: number): void {
    if (attempt.state === "ended") return;
    if (attempt.state !== "running" && !attempt.idempotent) {
      this.#spent.set(attempt.key, "never-started");
    }
    attempt.state = "ended";
    attempt.endedAtMs = nowMs;
    this.#ended.set(attempt.key, attempt);
    this.#endedBytes += attempt.frames.bytes;
    this.prune(nowMs);
  }

  /** Refuses a dispatch of an attempt that was seen before. */
  checkRepeat(key: string): Refusal | undefined {
    const attempt = this.#attempts.get(key);
    const spent = this.findSpent(key);
    if (attempt === undefined && spent === undefined) return undefined;
    const mayHaveRun =
      spent === "started" ||
      (attempt !== undefined &&
        (attempt.state !== "ended" || attempt.startedAtMs !== undefined));
    return mayHaveRun
      ? createRefusal("in-progress", `Attempt "${key}" was seen before`)
      : createRefusal("attempt-revoked", `Attempt "${key}" was given up`);
  }

  /**
   * The state for a look-up of an attempt that is not waiting. One that was
   * never seen is barred from starting, so "revoked" stays true.
   */
  lookUp(key: string, isSameEpoch: boolean): LookUpState {
    const attempt = this.#attempts.get(key);
    if (attempt?.state === "running") return "running";
    if (attempt?.startedAtMs !== undefined) return "ended";
    const spent = this.findSpent(key);
    // The result of a dropped attempt is gone; all that is left is "unknown".
    if (spent === "started") return "other-epoch";
    if (attempt === undefined && !isSameEpoch) return "other-epoch";
    // Also for a refused attempt: the memory of it may be dropped later.
    if (spent === undefined) this.#spent.set(key, "never-started");
    return "revoked";
  }

  /** Drops ended attempts that are too old or too many. */
  prune(nowMs: number): void {
    for (const [key, attempt] of this.#ended) {
      const isOld =
        (attempt.endedAtMs ?? 0) + this.#limits.keepEndedMs <= nowMs;
      const isTooMuch =
        this.#ended.size > this.#limits.maxEnded ||
        this.#endedBytes > this.#limits.maxBytes;
      if (!isOld && !isTooMuch) return;
      this.#ended.delete(key);
      this.#attempts.delete(key);
      this.#endedBytes -= attempt.frames.bytes;
    }
  }

  /**
   * Makes room after a change of the epoch. Attempts of the old epoch can't
   * start any more, since non-idempotent work must carry the current one.
   */
  rotateSpent(): void {
    this.#previousSpent = this.#spent;
    this.#spent = new Map();
  }
}
