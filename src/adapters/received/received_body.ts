/**
 * A body while it arrives. Chunks are copied into one buffer, since a chunk of
 * one byte costs 200 bytes of heap while it is kept.
 */

import type { Sender } from "./bounds.js";
import { ChunkMeter } from "./chunk_meter.js";
import type { HeldMemory } from "./held_memory.js";
import {
  BODY_REFUSAL,
  type BodyRefusal,
  RECEIVED_REFUSAL,
} from "./memory_budget.js";

/** Smallest buffer for more than one chunk, bytes. */
const MIN_CAPACITY_BYTES = 1_024;
const EMPTY = Buffer.alloc(0);

export interface BodyOptions {
  readonly sender: Sender;
  readonly maxBytes: number;
  readonly memory: HeldMemory;
  /** Address of the endpoint whose answer it is. */
  readonly endpoint?: string;
}

export class ReceivedBody {
  readonly #options: BodyOptions;
  readonly #meter: ChunkMeter;
  #buffer: Buffer = EMPTY;
  #sizeBytes = 0;
  #reservedBytes = 0;
  #exceedsShare = false;

  constructor(options: BodyOptions) {
    this.#options = options;
    this.#meter = new ChunkMeter(options.memory);
  }

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Adds a chunk, or gives the body up and returns the reason. */
  add(chunk: Buffer): BodyRefusal | undefined {
    const refusal = this.#accept(chunk);
    if (refusal === undefined) return undefined;
    this.discard();
    if (refusal !== BODY_REFUSAL.tooLarge) {
      const { endpointNoMemory } = RECEIVED_REFUSAL;
      const reason = this.#exceedsShare ? endpointNoMemory : refusal;
      this.#options.memory.report(this.#options.sender, reason);
    }
    return refusal;
  }

  /** The body; its memory stays held. */
  get data(): Buffer {
    return this.#buffer.length === this.#sizeBytes
      ? this.#buffer
      : this.#buffer.subarray(0, this.#sizeBytes);
  }

  /**
   * The whole body. From now on it is held for its receiver: an endpoint is not
   * to blame for callers who are slow to read.
   */
  complete(): Buffer {
    const { memory, endpoint } = this.#options;
    memory.takeFrom(endpoint, this.#reservedBytes);
    return this.data;
  }

  /** Gives the memory back, of a body that is not complete or not wanted. */
  discard(): void {
    const { memory, endpoint } = this.#options;
    memory.giveBack(this.#reservedBytes, endpoint);
    this.#reservedBytes = 0;
    this.#sizeBytes = 0;
    this.#buffer = EMPTY;
  }

  #accept(chunk: Buffer): BodyRefusal | undefined {
    const { maxBytes } = this.#options;
    const sizeBytes = this.#sizeBytes + chunk.length;
    if (sizeBytes > maxBytes) return BODY_REFUSAL.tooLarge;
    if (!this.#meter.take(chunk)) return BODY_REFUSAL.smallChunks;
    if (this.#sizeBytes === 0 && isAlone(chunk)) {
      if (!this.#reserve(chunk.length)) return BODY_REFUSAL.noMemory;
      this.#buffer = chunk;
    } else {
      if (!this.#makeRoom(sizeBytes)) return BODY_REFUSAL.noMemory;
      chunk.copy(this.#buffer, this.#sizeBytes);
    }
    this.#sizeBytes = sizeBytes;
    return undefined;
  }

  #makeRoom(sizeBytes: number): boolean {
    if (sizeBytes <= this.#buffer.length) return true;
    const capacityBytes = Math.min(
      Math.max(MIN_CAPACITY_BYTES, 2 * this.#buffer.length, sizeBytes),
      this.#options.maxBytes,
    );
    if (!this.#reserve(capacityBytes)) return false;
    const buffer = Buffer.allocUnsafeSlow(capacityBytes);
    this.#buffer.copy(buffer, 0, 0, this.#sizeBytes);
    this.#buffer = buffer;
    return true;
  }

  #reserve(capacityBytes: number): boolean {
    const { sender, memory, endpoint } = this.#options;
    const bytes = capacityBytes - this.#reservedBytes;
    if (!memory.reserve(sender, bytes, capacityBytes, endpoint)) {
      this.#exceedsShare = memory.exceedsShare(bytes, capacityBytes, endpoint);
      return false;
    }
    this.#reservedBytes = capacityBytes;
    return true;
  }
}

/** True where the chunk doesn't keep a larger buffer in memory. */
function isAlone(chunk: Buffer): boolean {
  return chunk.buffer.byteLength === chunk.length;
}
