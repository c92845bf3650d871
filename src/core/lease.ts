/**
 * Leases on keys of the object store, without a shared clock. A holder counts
 * from when it sent its write; a process that takes over counts from when it
 * first saw the holder's version. So the holder's lease always expires first.
 */

/** The value of `leases/…` keys. */
export interface LeaseDocument {
  /** Empty after a release. */
  readonly holder: string;
  /** New at each start of the holder's process. */
  readonly epoch: string;
  /** Rises each time the lease is acquired; never falls. */
  readonly fencing: number;
  readonly lengthMs: number;
}

export interface LeaseWrite {
  readonly value: LeaseDocument;
  readonly ifVersion: number;
}

export interface LeaseOptions {
  readonly holder: string;
  readonly epoch: string;
  readonly lengthMs: number;
  /**
   * True when the resource itself refuses an old fencing number, so that a new
   * holder need not wait until the old lease expires.
   */
  readonly takesOverAtOnce: boolean;
}

interface Observation {
  readonly version: number;
  readonly document: LeaseDocument | undefined;
  readonly firstSeenAtMs: number;
}

interface Holding {
  readonly version: number;
  readonly fencing: number;
  readonly validUntilMs: number;
}

/**
 * Last share of the lease's length, in which its holder no longer relies on
 * it. It covers different clock rates and the time from a check to its use.
 */
const SAFETY_MARGIN_SHARE = 0.25;
const MAX_LENGTH_MS = 600_000;

export function parseLease(value: unknown): LeaseDocument | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { holder, epoch, fencing, lengthMs } = value as Partial<LeaseDocument>;
  if (typeof holder !== "string" || typeof epoch !== "string") return undefined;
  if (!Number.isSafeInteger(fencing) || (fencing ?? -1) < 0) return undefined;
  if (typeof lengthMs !== "number" || !(lengthMs > 0)) return undefined;
  const length = Math.min(lengthMs, MAX_LENGTH_MS);
  return { holder, epoch, fencing: fencing ?? 0, lengthMs: length };
}

export class Lease {
  readonly #options: LeaseOptions;
  #observed: Observation | undefined;
  #holding: Holding | undefined;
  #sentAtMs = 0;
  /** Send time of the first write whose outcome is not known. */
  #unconfirmedSinceMs: number | undefined;

  constructor(options: LeaseOptions) {
    this.#options = options;
  }

  /** The fencing number of the held lease, for requests to the resource. */
  get fencing(): number {
    return this.#holding?.fencing ?? 0;
  }

  isHeld(nowMs: number): boolean {
    return this.#holding !== undefined && nowMs < this.#holding.validUntilMs;
  }

  /** Records the stored object, read at or before `nowMs`. */
  observe(
    stored: { version: number; value: unknown } | undefined,
    nowMs: number,
  ): void {
    const version = stored?.version ?? 0;
    if (this.#observed?.version === version) return;
    const document = parseLease(stored?.value);
    this.#observed = { version, document, firstSeenAtMs: nowMs };
    this.#holding = undefined;
    // Only this process writes its epoch, so a write whose reply was lost took
    // effect. It may be any of several, so the time of the first one counts.
    const sentAtMs = this.#unconfirmedSinceMs;
    this.#unconfirmedSinceMs = undefined;
    if (document === undefined || sentAtMs === undefined) return;
    if (this.#isOwn(document))
      this.#recordHolding(version, document.fencing, sentAtMs);
  }

  /** The write that acquires the lease; `undefined` while it isn't free. */
  planAcquire(nowMs: number): LeaseWrite | undefined {
    const observed = this.#observed;
    if (observed === undefined || !this.#isFree(observed, nowMs)) {
      return undefined;
    }
    const fencing = (observed.document?.fencing ?? 0) + 1;
    return this.#planWrite(fencing, observed.version, nowMs);
  }

  /** The write that renews a lease that is still held. */
  planRenew(nowMs: number): LeaseWrite | undefined {
    if (this.#holding === undefined || !this.isHeld(nowMs)) return undefined;
    return this.#planWrite(this.#holding.fencing, this.#holding.version, nowMs);
  }

  /** The write that frees the lease for the next holder. */
  planRelease(): LeaseWrite | undefined {
    const held = this.#holding;
    if (held === undefined) return undefined;
    const { lengthMs } = this.#options;
    const { fencing, version } = held;
    this.#holding = undefined;
    const value = { holder: "", epoch: "", fencing, lengthMs };
    return { value, ifVersion: version };
  }

  /** Records that a planned write took effect and created this version. */
  confirmWrite(write: LeaseWrite, version: number, nowMs: number): void {
    const document = write.value;
    this.#observed = { version, document, firstSeenAtMs: nowMs };
    this.#holding = undefined;
    this.#unconfirmedSinceMs = undefined;
    if (!this.#isOwn(document)) return;
    this.#recordHolding(version, document.fencing, this.#sentAtMs);
  }

  /** Discards what is known of the key: another process has written it. */
  forget(): void {
    this.#observed = undefined;
    this.#holding = undefined;
  }

  #isOwn(document: LeaseDocument): boolean {
    return document.epoch === this.#options.epoch;
  }

  #isFree(observed: Observation, nowMs: number): boolean {
    if (observed.version === 0) return true;
    const { document, firstSeenAtMs } = observed;
    if (document?.holder === "") return true;
    if (document !== undefined && this.#isOwn(document)) return true;
    if (this.#options.takesOverAtOnce) return true;
    const lengthMs = document?.lengthMs ?? this.#options.lengthMs;
    return nowMs - firstSeenAtMs >= lengthMs;
  }

  #planWrite(fencing: number, ifVersion: number, nowMs: number): LeaseWrite {
    const { holder, epoch, lengthMs } = this.#options;
    this.#sentAtMs = nowMs;
    this.#unconfirmedSinceMs ??= nowMs;
    return { value: { holder, epoch, fencing, lengthMs }, ifVersion };
  }

  #recordHolding(version: number, fencing: number, sentAtMs: number): void {
    const { lengthMs } = this.#options;
    const validUntilMs = sentAtMs + lengthMs * (1 - SAFETY_MARGIN_SHARE);
    this.#holding = { version, fencing, validUntilMs };
  }
}
