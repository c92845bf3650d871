import { Socket, type SocketConstructorOpts } from "node:net";
import type { ReadTurns, WaitingReader } from "./read_turns.js";

/**
 * Bytes that are processed at once. With chunks of one byte, the least take
 * some 1 ms; a connection whose parts are quick gets larger ones.
 */
const PART_BYTES = { least: 4_096, most: 32_768 } as const;
/** A part that takes no longer is quick, ms. */
const QUICK_MS = 0.2;
/**
 * Time of one turn, ms. Counted in bytes, a large answer would wait for parts
 * that take a hundred times as long as its own.
 */
const MAX_WORK_MS = 1;

/** Named by the error of a connection that the other side has broken. */
const READ_SYSCALL = "read";

export interface EndpointSocketOptions {
  readonly turns: ReadTurns;
  /** Connections of the same endpoint share its turns. */
  readonly endpoint: object;
}

/**
 * Connection to an endpoint that processes what it receives in small parts, and
 * waits for its turn where the event loop has no time left for endpoints. What
 * waits is bounded: the socket reads no more beyond its high-water mark.
 */
export class EndpointSocket extends Socket implements WaitingReader {
  readonly endpoint: object;
  readonly #turns: ReadTurns;
  #partBytes: number = PART_BYTES.least;
  /** Paused to wait for a turn, whatever its reader wants. */
  #isHeld = false;
  /** Its reader wants data; kept while it is held. */
  #isWanted = false;

  constructor(
    { turns, endpoint }: EndpointSocketOptions,
    options?: SocketConstructorOpts,
  ) {
    super(options);
    this.#turns = turns;
    this.endpoint = endpoint;
    this.once("close", () => turns.remove(this));
  }

  override push(chunk: Buffer | null): boolean {
    if (chunk === null) return super.push(null);
    let offset = 0;
    while (offset < chunk.length && this.#mayProcess) {
      const end = offset + this.#partBytes;
      super.push(chunk.subarray(offset, end));
      offset = end;
    }
    if (this.destroyed) return false;
    if (offset >= chunk.length) return true;
    if (this.readableFlowing === true) this.#hold();
    return super.push(chunk.subarray(offset));
  }

  get #mayProcess(): boolean {
    return (
      this.readableFlowing === true &&
      this.#turns.hasTimeLeft &&
      !this.destroyed
    );
  }

  override emit(event: string | symbol, ...args: unknown[]): boolean {
    if (event !== "data") return super.emit(event, ...args);
    const startMs = this.#turns.usedMs;
    const isHandled = this.#turns.run(() => super.emit(event, ...args));
    const [data] = args as [Buffer];
    this.#adaptParts(data.length, this.#turns.usedMs - startMs);
    return isHandled;
  }

  #adaptParts(bytes: number, ms: number): void {
    if (ms > QUICK_MS) this.#partBytes = PART_BYTES.least;
    else if (bytes >= this.#partBytes) {
      this.#partBytes = Math.min(2 * bytes, PART_BYTES.most);
    }
  }

  override pause(): this {
    this.#isWanted = false;
    return super.pause();
  }

  override resume(): this {
    if (!this.#isHeld && this.readableLength === 0) return super.resume();
    this.#hold();
    return this;
  }

  #hold(): void {
    this.#isHeld = true;
    super.pause();
    this.#isWanted = true;
    this.#turns.wait(this);
  }

  /** What has come before a connection breaks still counts. */
  override destroy(error?: NodeJS.ErrnoException): this {
    if (error?.syscall === READ_SYSCALL && this.#isWanted) this.#processAll();
    return super.destroy(error);
  }

  #processAll(): void {
    while (this.#isWanted && this.readableLength > 0 && !this.destroyed) {
      this.read(Math.min(this.#partBytes, this.readableLength));
    }
  }

  processPart(): void {
    if (!this.#isWanted || this.destroyed) return;
    const endsAtMs = this.#turns.usedMs + MAX_WORK_MS;
    while (this.#isWanted && this.#turns.usedMs < endsAtMs) {
      const bytes = Math.min(this.#partBytes, this.readableLength);
      if (bytes === 0) break;
      this.read(bytes);
    }
    if (!this.#isWanted || this.destroyed) return;
    if (this.readableLength > 0) {
      this.#turns.wait(this);
      return;
    }
    this.#isHeld = false;
    super.resume();
  }
}
