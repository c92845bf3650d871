/**
 * Joins the work for chunks that arrive together: one read of a connection may
 * bring thousands of them, each of a byte.
 */

/** Chunks of one read that are processed at once; endpoints send few. */
const MAX_SINGLE_CHUNKS = 16;
/** Bytes that are collected before they are processed. */
const MAX_COLLECTED_BYTES = 4_096;

export class ChunkCollector {
  readonly #process: () => void;
  #chunks = 0;
  #bytes = 0;
  #isScheduled = false;

  /** `process` is called once for one or more chunks. */
  constructor(process: () => void) {
    this.#process = process;
  }

  add(bytes: number): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      process.nextTick(() => this.#endRead());
    }
    this.#chunks++;
    this.#bytes += bytes;
    const isSingle = this.#chunks <= MAX_SINGLE_CHUNKS;
    if (isSingle || this.#bytes >= MAX_COLLECTED_BYTES) this.flush();
  }

  /** Processes what was collected so far. */
  flush(): void {
    if (this.#bytes === 0) return;
    this.#bytes = 0;
    this.#process();
  }

  #endRead(): void {
    this.#isScheduled = false;
    this.#chunks = 0;
    this.flush();
  }
}
