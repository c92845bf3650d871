/**
 * Reads callers' connections in small parts, each with one request at the most.
 * Node parses all that one read of a socket brings, which may be hundreds of
 * requests, before a limit can take effect. Between two parts the connection
 * may be paused or closed, and other connections have their turns.
 */

import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { MAX_IGNORED_BYTES } from "../../adapters/received/index.js";
import {
  READ_LEVEL,
  type ReadLevel,
  ReadSchedule,
  type ScheduledReader,
} from "./read_schedule.js";
import { createSmallReader, READ_BYTES, stopReads } from "./small_reads.js";
import { UnfinishedHead } from "./unfinished_head.js";

export interface ConnectionReadsOptions {
  /** A monotonic clock, ms. */
  readonly now: () => number;
  /** The response to the newest request that was read from a connection. */
  readonly getNewestResponse: (socket: Duplex) => ServerResponse | undefined;
  /** False while no further request of the connection may begin. */
  readonly mayBegin: (socket: Duplex) => boolean;
  /** A caller has connected. */
  readonly onConnection?: (socket: Socket) => void;
}

export class ConnectionReads {
  readonly #options: ConnectionReadsOptions;
  readonly #schedule: ReadSchedule;
  readonly #readers = new WeakMap<Duplex, PartReader>();

  constructor(options: ConnectionReadsOptions) {
    this.#options = options;
    this.#schedule = new ReadSchedule(options.now);
  }

  /** Takes over the connections that the server accepts. */
  attach(server: Server): void {
    const listeners = server.listeners("connection");
    server.removeAllListeners("connection");
    server.on("connection", (accepted: Socket) => {
      this.#schedule.addConnection();
      const socket = createSmallReader(accepted, (bytes) =>
        reader.receive(bytes),
      );
      for (const listener of listeners) listener.call(server, socket);
      // After the server's own listeners, which it works with.
      const reader = new PartReader(socket, this.#schedule, {
        ...this.#options,
        refuseHead: () => server.emit("clientError", new HeadError(), socket),
      });
      this.#readers.set(socket, reader);
      this.#options.onConnection?.(socket);
    });
  }

  /** True while connections wait for their turn to be parsed. */
  get isBehind(): boolean {
    return this.#schedule.hasWaiting;
  }

  /** True while received bytes wait to be parsed. */
  hasWaitingBytes(socket: Duplex): boolean {
    return this.#readers.get(socket)?.isWaiting ?? false;
  }

  /** A further request of the connection may begin. */
  goOn(socket: Duplex): void {
    this.#readers.get(socket)?.goOn();
  }

  /**
   * Drops all further bytes. Some are read, since a connection that is closed
   * with unread bytes is reset, which may cost the caller its last response.
   */
  discardRest(socket: Duplex): void {
    this.#readers.get(socket)?.discardRest();
  }
}

/** Code of the error of a head for which there is no memory. */
export const NO_HEAD_MEMORY_CODE = "ERR_NO_HEAD_MEMORY";

class HeadError extends Error {
  override readonly name = "HeadError";
  readonly code = NO_HEAD_MEMORY_CODE;

  constructor() {
    super("No memory for the head");
  }
}

interface PartReaderOptions extends ConnectionReadsOptions {
  /** There is no memory for the head that the caller sends. */
  readonly refuseHead: () => void;
}

/** Stands between a socket and its stream, which gets one part after another. */
class PartReader implements ScheduledReader {
  readonly #socket: Socket;
  readonly #schedule: ReadSchedule;
  readonly #options: PartReaderOptions;
  readonly #pushPart: (part: Buffer | null) => boolean;
  readonly #startReading: () => void;
  #waiting: Buffer | undefined;
  #unfinishedHead: UnfinishedHead | undefined;
  /** Bytes of the newest request's body that are still to come, if known. */
  #bodyBytesLeft = 0;
  /** What waits was sent ahead of an answer. */
  #isAhead = false;
  #isParsing = false;
  #isEnded = false;
  #isEndTold = false;
  #discards = false;
  #discardedBytes = 0;

  constructor(
    socket: Socket,
    schedule: ReadSchedule,
    options: PartReaderOptions,
  ) {
    this.#socket = socket;
    this.#schedule = schedule;
    this.#options = options;
    this.#pushPart = socket.push.bind(socket);
    this.#startReading = socket._read.bind(socket, 0);
    // Only the end comes this way.
    socket.push = () => this.#receiveEnd();
    socket._read = () => this.#updateReading();
    socket.on("pause", () => this.goOn());
    socket.on("resume", () => this.#resume());
    socket.once("close", () => this.#drop());
    // Node's parser takes the bytes past the stream until there is a listener.
    const listener = () => undefined;
    socket.on("data", listener);
    socket.off("data", listener);
  }

  get isWaiting(): boolean {
    return this.#waiting !== undefined;
  }

  /** False where no more may be read. */
  receive(bytes: Buffer): boolean {
    if (this.#discards) this.#discardedBytes += bytes.length;
    else {
      this.#waiting = this.#waiting
        ? Buffer.concat([this.#waiting, bytes])
        : bytes;
      this.goOn();
    }
    return this.#mayRead;
  }

  /** Parses what may be parsed at once; the rest waits. */
  goOn(): void {
    if (this.#isParsing) return;
    while (this.#mayParse && this.#schedule.mayParse(this.#level)) {
      this.#parsePart();
    }
    this.#wait();
  }

  processPart(): void {
    if (this.#mayParse) this.#parsePart();
    this.#wait();
  }

  discardRest(): void {
    if (this.#discards) return;
    this.#discards = true;
    this.#drop();
    if (this.#isEnded) this.#tellEnd();
    else this.#updateReading();
  }

  get #isFlowing(): boolean {
    return this.#socket.readableFlowing === true && !this.#socket.destroyed;
  }

  get #mayRead(): boolean {
    if (this.#socket.destroyed || this.#isEnded) return false;
    if (this.#discards) return this.#discardedBytes < MAX_IGNORED_BYTES;
    return this.#isFlowing && (this.#waiting?.length ?? 0) < READ_BYTES;
  }

  get #mayParse(): boolean {
    if (!this.isWaiting || !this.#isFlowing) return false;
    return !this.#isAtRequest || this.#options.mayBegin(this.#socket);
  }

  /** The next byte is the first one of a request. */
  get #isAtRequest(): boolean {
    return this.#unfinishedHead === undefined && !this.#isInBody;
  }

  get #newestResponse(): ServerResponse | undefined {
    return this.#options.getNewestResponse(this.#socket);
  }

  get #isInBody(): boolean {
    return this.#newestResponse?.req.complete === false;
  }

  get #level(): ReadLevel {
    const response = this.#newestResponse;
    if (this.#isInBody && response?.writableEnded) return READ_LEVEL.ahead;
    if (!this.#isAtRequest) return READ_LEVEL.rest;
    const isAnswered = response?.writableFinished ?? true;
    return isAnswered && !this.#isAhead ? READ_LEVEL.request : READ_LEVEL.ahead;
  }

  #parsePart(): void {
    const bytes = this.#waiting;
    if (bytes === undefined) return;
    const end = this.#findPartEnd(bytes);
    this.#waiting = end < bytes.length ? bytes.subarray(end) : undefined;
    const before = this.#newestResponse;
    const wasInBody = this.#isInBody;
    this.#isParsing = true;
    this.#schedule.run(() => this.#pushPart(bytes.subarray(0, end)));
    this.#isParsing = false;
    const newest = this.#newestResponse;
    if (newest !== before) {
      this.#endHead();
      this.#bodyBytesLeft = getBodyBytes(newest);
    } else if (wasInBody) this.#bodyBytesLeft -= end;
    else if (!this.#discards) this.#addToHead(end);
  }

  #addToHead(bytes: number): void {
    this.#unfinishedHead ??= new UnfinishedHead(this.#options.refuseHead);
    this.#unfinishedHead.addBytes(bytes);
  }

  #endHead(): void {
    this.#unfinishedHead?.end();
    this.#unfinishedHead = undefined;
  }

  /** Up to the end of a head, or of the body. */
  #findPartEnd(bytes: Buffer): number {
    if (this.#isInBody && this.#bodyBytesLeft > 0) {
      return Math.min(this.#bodyBytesLeft, bytes.length);
    }
    return findHeadEnd(bytes);
  }

  #wait(): void {
    this.#isAhead = this.isWaiting && this.#level === READ_LEVEL.ahead;
    // Nobody waits for answers to what was sent ahead by a caller who has left.
    if (this.#isEnded && this.#isAhead) this.#waiting = undefined;
    if (this.#mayParse) this.#schedule.wait(this, this.#level);
    else this.#schedule.remove(this);
    if (this.#isEnded && !this.isWaiting) this.#tellEnd();
    else this.#updateReading();
  }

  #receiveEnd(): boolean {
    this.#isEnded = true;
    this.goOn();
    return false;
  }

  #tellEnd(): void {
    if (this.#isEndTold) return;
    this.#isEndTold = true;
    this.#pushPart(null);
  }

  #updateReading(): void {
    if (this.#mayRead) this.#startReading();
    else stopReads(this.#socket);
  }

  #resume(): void {
    // Node pauses the connection so while many unsent responses wait.
    if ((this.#socket as Socket & { _paused?: boolean })._paused) {
      this.#socket.pause();
    } else this.goOn();
  }

  #drop(): void {
    this.#waiting = undefined;
    this.#endHead();
    this.#schedule.remove(this);
  }
}

/** The length of a request's body; 0 where only its last chunk tells. */
function getBodyBytes(response: ServerResponse | undefined): number {
  return Number(response?.req.headers["content-length"] ?? 0);
}

const HEAD_END_CRLF = "\n\r\n";
const HEAD_END_LF = "\n\n";

/** The end of the first empty line, or all bytes if there is none. */
function findHeadEnd(bytes: Buffer): number {
  const ends = [HEAD_END_CRLF, HEAD_END_LF].flatMap((text) => {
    const at = bytes.indexOf(text, 0, "latin1");
    return at < 0 ? [] : [at + text.length];
  });
  return Math.min(bytes.length, ...ends);
}
