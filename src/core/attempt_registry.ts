/**
 * The gate's record of attempts. It is bounded in count, bytes and age, and a
 * non-idempotent attempt still never starts twice.
 */

import type { DispatchRequest, Priority } from "../schema/index.js";
import { assertInvariant, createRefusal, type Refusal } from "./errors.js";
import { FrameLog } from "./frame_log.js";

/** A dispatch whose fields have been checked, without its body. */
export interface GateRequest
  extends Omit<DispatchRequest, "body" | "priority"> {
  readonly priority: Priority;
}

/** A "fetching" attempt waits for the revision that its dispatch names. */
export type AttemptState = "fetching" | "queued" | "running" | "ended";

export interface Attempt {
  readonly key: string;
  readonly request: GateRequest;
  readonly deadlineAtMs: number;
  readonly frames: FrameLog;
  /** False when the dispatch or the fleet state says it isn't idempotent. */
  idempotent: boolean;
  state: AttemptState;
  startedAtMs: number | undefined;
  endedAtMs: number | undefined;
}

/**
 * What is known of a key that must not start again, also after its attempt was
 * dropped from the registry.
 */
export type UsedKeyState = "started" | "never-started";

/** States of `LookUpAttemptReply`. */
export type LookUpState = "revoked" | "running" | "ended" | "other-epoch";

export interface AttemptRegistryLimits {
  /** Ended attempts kept with their frames. */
  readonly maxEnded: number;
  readonly maxBytes: number;
  readonly endedRetentionMs: number;
  /** Keys of non-idempotent or revoked attempts kept in one epoch. */
  readonly maxUsedKeys: number;
}

export const DEFAULT_REGISTRY_LIMITS: AttemptRegistryLimits = {
  maxEnded: 5_000,
  maxBytes: 12_000_000,
  endedRetentionMs: 120_000,
  // About 100 bytes each, so at most 5 MB of the node's 128 MB.
  maxUsedKeys: 50_000,
};

export function createAttemptKey(requestId: string, attempt: number): string {
  return `${requestId}/${attempt}`;
}

export class AttemptRegistry {
  readonly #limits: AttemptRegistryLimits;
  readonly #attempts = new Map<string, Attempt>();
  /** Ended attempts, oldest first. */
  readonly #ended = new Map<string, Attempt>();
  #usedKeys = new Map<string, UsedKeyState>();
  /** Keys of the previous epoch, whose revocations must still hold. */
  #previousUsedKeys = new Map<string, UsedKeyState>();
  #endedBytes = 0;

  constructor(limits: AttemptRegistryLimits = DEFAULT_REGISTRY_LIMITS) {
    this.#limits = limits;
  }

  get size(): number {
    return this.#attempts.size;
  }

  get usedKeyCount(): number {
    return this.#usedKeys.size;
  }

  /** True when only a new epoch makes room for more keys. */
  get isUsedKeyLimitReached(): boolean {
    return this.#usedKeys.size >= this.#limits.maxUsedKeys;
  }

  find(key: string): Attempt | undefined {
    return this.#attempts.get(key);
  }

  findUsedKeyState(key: string): UsedKeyState | undefined {
    return this.#usedKeys.get(key) ?? this.#previousUsedKeys.get(key);
  }

  add(request: GateRequest, deadlineAtMs: number): Attempt {
    const key = createAttemptKey(request.requestId, request.attempt);
    assertInvariant(
      !this.#attempts.has(key) && this.findUsedKeyState(key) === undefined,
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
        this.findUsedKeyState(attempt.key) === undefined,
      "ranTwice",
      `attempt "${attempt.key}" started again`,
    );
    attempt.state = "running";
    attempt.startedAtMs = nowMs;
    if (!attempt.idempotent) this.#usedKeys.set(attempt.key, "started");
  }

  /** Records the end of an attempt that ran or was refused. */
  markEnded(attempt: Attempt, nowMs: number): void {
    if (attempt.state === "ended") return;
    if (attempt.state !== "running" && !attempt.idempotent) {
      this.#usedKeys.set(attempt.key, "never-started");
    }
    attempt.state = "ended";
    attempt.endedAtMs = nowMs;
    this.#ended.set(attempt.key, attempt);
    this.#endedBytes += attempt.frames.bytes;
    this.prune(nowMs);
  }

  /** Refuses a dispatch whose attempt was dispatched or revoked before. */
  checkDuplicate(key: string): Refusal | undefined {
    const attempt = this.#attempts.get(key);
    const usedKeyState = this.findUsedKeyState(key);
    if (attempt === undefined && usedKeyState === undefined) return undefined;
    const mayHaveStarted =
      usedKeyState === "started" ||
      (attempt !== undefined &&
        (attempt.state !== "ended" || attempt.startedAtMs !== undefined));
    return mayHaveStarted
      ? createRefusal("in-progress", `Attempt "${key}" was dispatched before`)
      : createRefusal(
          "attempt-revoked",
          `Attempt "${key}" was refused or revoked before it started`,
        );
  }

  /**
   * The state for a look-up of an attempt that is not waiting. One that was
   * never seen is kept from starting, so "revoked" stays true.
   */
  lookUp(key: string, isSameEpoch: boolean): LookUpState {
    const attempt = this.#attempts.get(key);
    if (attempt?.state === "running") return "running";
    if (attempt?.startedAtMs !== undefined) return "ended";
    const usedKeyState = this.findUsedKeyState(key);
    // The attempt was dropped with its result, so its outcome is unknown.
    if (usedKeyState === "started") return "other-epoch";
    if (attempt === undefined && !isSameEpoch) return "other-epoch";
    // A refused attempt needs it too: its record may be dropped later.
    if (usedKeyState === undefined) this.#usedKeys.set(key, "never-started");
    return "revoked";
  }

  /** Drops ended attempts that are over the limits of age, count or bytes. */
  prune(nowMs: number): void {
    for (const [key, attempt] of this.#ended) {
      const isOld =
        (attempt.endedAtMs ?? 0) + this.#limits.endedRetentionMs <= nowMs;
      const isOverLimit =
        this.#ended.size > this.#limits.maxEnded ||
        this.#endedBytes > this.#limits.maxBytes;
      if (!isOld && !isOverLimit) return;
      this.#ended.delete(key);
      this.#attempts.delete(key);
      this.#endedBytes -= attempt.frames.bytes;
    }
  }

  /**
   * Makes room after a change of the epoch. Non-idempotent attempts of the old
   * epoch can't start any more, since they must carry the current one.
   */
  rotateUsedKeys(): void {
    this.#previousUsedKeys = this.#usedKeys;
    this.#usedKeys = new Map();
  }
}
