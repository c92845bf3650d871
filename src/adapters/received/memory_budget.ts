/** Memory that all received data of the process together may hold. */

import { Arrivals, type BodyArrival } from "./arrivals.js";
import {
  DEFAULT_HOST_MEMORY_MB,
  MAX_ENDPOINT_SHARE,
  RECEIVED_PER_HOST_MEMORY,
  RECEIVED_SHARES,
  type Sender,
  SMALL_BODY_BYTES,
  SMALL_BODY_EXTRA_SHARE,
  SMALL_CHUNKS_AT_ONCE,
  SMALL_CHUNKS_PER_SECOND,
  STORE_VALUES_PER_HOST_MB,
} from "./bounds.js";

const BYTES_PER_MB = 1_048_576;
const MS_PER_SECOND = 1_000;

/** Why a body is not read on. */
export const BODY_REFUSAL = {
  /** It is larger than its own bound. */
  tooLarge: "too-large",
  /** All bodies together hold too much. */
  noMemory: "no-memory",
  /** Too many small chunks come in all bodies together. */
  smallChunks: "small-chunks",
} as const;
export type BodyRefusal = (typeof BODY_REFUSAL)[keyof typeof BODY_REFUSAL];

/** Why something that was received is not used. */
export const RECEIVED_REFUSAL = {
  ...BODY_REFUSAL,
  /** It has more items than may be decoded. */
  manyItems: "many-items",
  /** It came before the answer to the request before it was sent. */
  pipelined: "pipelined",
  manyConnections: "many-connections",
  /** All answers of its endpoint hold too much. */
  endpointNoMemory: "endpoint-no-memory",
  /** A body or a large answer stopped short of its end. */
  paused: "paused",
  /** A body takes longer than any deadline. */
  slow: "slow",
  /** A body stopped, and others needed its memory. */
  stopped: "stopped",
} as const;
export type ReceivedRefusal =
  (typeof RECEIVED_REFUSAL)[keyof typeof RECEIVED_REFUSAL];

/** Who sent it; `monitor` asks for metrics or readiness. */
export type ReceivedSource = Sender | "monitor";

/** Called when something is refused for the sake of the process. */
export type RefusalListener = (
  sender: ReceivedSource,
  reason: ReceivedRefusal,
  heldBytes: number,
) => void;

export class MemoryBudget {
  readonly #now: () => number;
  #capacityBytes = 0;
  #heldBytes = 0;
  /** Held by endpoints, by address. */
  readonly #heldByEndpoint = new Map<string, number>();
  #maxValues = 0;
  #heldValues = 0;
  #freeSmallChunks = SMALL_CHUNKS_AT_ONCE;
  #refilledAtMs = 0;
  #onRefusal: RefusalListener = () => {};
  readonly #arrivals: Arrivals;

  constructor(now: () => number, hostMemoryMb = DEFAULT_HOST_MEMORY_MB) {
    this.#now = now;
    this.#arrivals = new Arrivals(now);
    this.setHostMemory(hostMemoryMb);
  }

  setHostMemory(megabytes: number): void {
    this.#capacityBytes = RECEIVED_PER_HOST_MEMORY * megabytes * BYTES_PER_MB;
    this.#maxValues = STORE_VALUES_PER_HOST_MB * megabytes;
  }

  setRefusalListener(listener: RefusalListener): void {
    this.#onRefusal = listener;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Adds a body that arrives. `giveUp` must release its memory; it is called
   * where the body has stopped and others need the memory.
   */
  addArrival(giveUp: () => void): BodyArrival {
    return this.#arrivals.add(giveUp);
  }

  /**
   * Adds `bytes` to a body, which has `totalBytes` then; false if too many.
   * `endpoint` is the address of the endpoint whose answer it is.
   */
  reserve(
    sender: Sender,
    bytes: number,
    totalBytes: number,
    endpoint?: string,
  ): boolean {
    if (this.exceedsShare(bytes, totalBytes, endpoint)) return false;
    const extraShare =
      totalBytes <= SMALL_BODY_BYTES ? SMALL_BODY_EXTRA_SHARE : 0;
    const share = Math.min(1, RECEIVED_SHARES[sender] + extraShare);
    const maxHeldBytes = share * this.#capacityBytes - bytes;
    while (this.#heldBytes > maxHeldBytes) {
      if (!this.#arrivals.giveUpStopped()) return false;
    }
    this.#add(bytes, endpoint);
    return true;
  }

  /** Whether the answers of the endpoint would hold too much. */
  exceedsShare(bytes: number, totalBytes: number, endpoint?: string): boolean {
    if (endpoint === undefined || totalBytes <= SMALL_BODY_BYTES) return false;
    const heldBytes = this.#heldByEndpoint.get(endpoint) ?? 0;
    return heldBytes + bytes > MAX_ENDPOINT_SHARE * this.#capacityBytes;
  }

  /** Adds bytes that were released for their endpoint, and are still held. */
  hold(bytes: number): void {
    this.#add(bytes, undefined);
  }

  release(bytes: number, endpoint?: string): void {
    this.#add(-bytes, endpoint);
  }

  #add(bytes: number, endpoint: string | undefined): void {
    this.#heldBytes += bytes;
    if (endpoint === undefined) return;
    const heldBytes = (this.#heldByEndpoint.get(endpoint) ?? 0) + bytes;
    if (heldBytes === 0) this.#heldByEndpoint.delete(endpoint);
    else this.#heldByEndpoint.set(endpoint, heldBytes);
  }

  /** Most values that all decoded answers of the store may have. */
  get maxValues(): number {
    return this.#maxValues;
  }

  /** Adds values to those of decoded answers; false if too many. */
  reserveValues(values: number): boolean {
    if (this.#heldValues + values > this.#maxValues) return false;
    this.#heldValues += values;
    return true;
  }

  releaseValues(values: number): void {
    this.#heldValues -= values;
  }

  /** Takes the right to read a small chunk; false if there are too many. */
  takeSmallChunk(): boolean {
    const nowMs = this.#now();
    const passedSeconds = (nowMs - this.#refilledAtMs) / MS_PER_SECOND;
    this.#refilledAtMs = nowMs;
    this.#freeSmallChunks = Math.min(
      SMALL_CHUNKS_AT_ONCE,
      this.#freeSmallChunks + passedSeconds * SMALL_CHUNKS_PER_SECOND,
    );
    if (this.#freeSmallChunks < 1) return false;
    this.#freeSmallChunks--;
    return true;
  }

  report(sender: ReceivedSource, reason: ReceivedRefusal): void {
    this.#onRefusal(sender, reason, this.#heldBytes);
  }
}

/** The budget of this process. */
export const receivedMemory = new MemoryBudget(() => performance.now());
