/** Standard output for the log. It neither holds up nor ends the process. */

import { fstatSync } from "node:fs";
import type { Writable } from "node:stream";
import { SonicBoom } from "sonic-boom";
import type { LogOutput } from "../adapters/logger.js";

const STDOUT_FD = 1;
/** Unread output that is buffered, bytes; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Time for the reader to take the last lines, ms; the rest is dropped. */
const FLUSH_TIMEOUT_MS = 100;

export interface ProcessOutput extends LogOutput {
  /** Resolves once all lines are written, or can't be in a short time. */
  flush(): Promise<void>;
}

export function createLogOutput(): ProcessOutput {
  const status = fstatSync(STDOUT_FD);
  return status.isFIFO() || status.isSocket()
    ? new PipeOutput(process.stdout)
    : new FileOutput();
}

/**
 * Writes to a pipe as far as its reader reads. A write by descriptor would
 * block one of Node's threads meanwhile, for which the end of the process waits.
 */
class PipeOutput implements ProcessOutput {
  readonly #stream: Writable;
  #hasReader = true;

  constructor(stream: Writable) {
    this.#stream = stream;
    // Such as EPIPE; without a listener it would end the process.
    stream.on("error", () => {
      this.#hasReader = false;
    });
  }

  write(text: string): void {
    const isFull = this.#stream.writableLength > MAX_BUFFERED_BYTES;
    if (this.#hasReader && !isFull) this.#stream.write(text);
  }

  async flush(): Promise<void> {
    if (!this.#hasReader || this.#stream.writableLength === 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, FLUSH_TIMEOUT_MS);
      this.#stream.write("", () => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

/** Writes to a file, in another thread. */
class FileOutput implements ProcessOutput {
  readonly #output = new SonicBoom({
    fd: STDOUT_FD,
    sync: false,
    maxLength: MAX_BUFFERED_BYTES,
  });

  constructor() {
    // A full disk loses lines; the next write tries again.
    this.#output.on("error", () => undefined);
  }

  write(text: string): void {
    this.#output.write(text);
  }

  async flush(): Promise<void> {
    try {
      this.#output.flushSync();
    } catch {
      // The lines are lost, and the process is about to end.
    }
  }
}
