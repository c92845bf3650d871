/**
 * Reads callers' connections in small parts. Node parses all that one read of a
 * socket brings, which may be 700 requests or 11,000 chunks, before a limit can
 * take effect. Between two parts the connection may be paused or closed, and
 * other connections have their turns.
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { ReadTurns, type WaitingReader } from "./read_turns.js";
import { createSmallReader, stopReads } from "./small_reads.js";

export class CallerReads {
  readonly #turns: ReadTurns;
  readonly #readers = new WeakMap<Duplex, PartReader>();

  /** `now` is a monotonic clock, ms. */
  constructor(now: () => number) {
    this.#turns = new ReadTurns(now);
  }

  /** Takes over the connections that the server accepts. */
  attach(server: Server): void {
    const listeners = server.listeners("connection");
    server.removeAllListeners("connection");
    server.on("connection", (accepted: Socket) => {
      const socket = createSmallReader(accepted, (bytes) =>
        reader.receive(bytes),
      );
      for (const listener of listeners) listener.call(server, socket);
      // After the server's own listeners, which it works with.
      const reader = new PartReader(socket, this.#turns);
      this.#readers.set(socket, reader);
    });
  }

  /** True while connections wait for their turn to be parsed. */
  get isBehind(): boolean {
    return this.#turns.hasWaiting;
  }

  /** True while received bytes wait to be parsed. */
  hasWaitingBytes(socket: Duplex): boolean {
    return this.#readers.get(socket)?.isWaiting ?? false;
  }

  /**
   * Drops all further bytes. They are read, since a connection that is closed
   * with unread bytes is reset, which may cost the caller its last response.
   */
  discardRest(socket: Duplex): void {
    this.#readers.get(socket)?.discardRest();
  }
}

/** Stands between a socket and its stream, which gets one part after another. */
class PartReader implements WaitingReader {
  /** Each connection has turns of its own. */
  readonly endpoint = this;
  readonly #socket: Socket;
  readonly #turns: ReadTurns;
  readonly #pushPart: (part: Buffer | null) => boolean;
  readonly #startReading: () => void;
  #waiting: Buffer | undefined;
  #isEnded = false;
  #discards = false;

  constructor(socket: Socket, turns: ReadTurns) {
    this.#socket = socket;
    this.#turns = turns;
    this.#pushPart = socket.push.bind(socket);
    this.#startReading = socket._read.bind(socket, 0);
    // Only the end comes this way.
    socket.push = () => this.#receiveEnd();
    socket._read = () => this.#updateReading();
    socket.on("pause", () => this.#updateReading());
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

  get #mayRead(): boolean {
    return this.#discards || (!this.isWaiting && this.#isFlowing);
  }

  /** Reads no more while a part waits or the connection is paused. */
  #updateReading(): void {
    if (this.#socket.destroyed || this.#isEnded) return;
    if (this.#mayRead) this.#startReading();
    else stopReads(this.#socket);
  }

  get #isFlowing(): boolean {
    return this.#socket.readableFlowing === true && !this.#socket.destroyed;
  }

  discardRest(): void {
    if (this.#discards) return;
    this.#discards = true;
    this.#drop();
    if (this.#isEnded) this.#pushPart(null);
    else this.#updateReading();
  }

  processPart(): void {
    if (this.#isFlowing) this.#pushWaiting();
    this.#waitForTurn();
    this.#updateReading();
  }

  /** False where no more may be read. */
  receive(bytes: Buffer): boolean {
    if (this.#discards) return true;
    this.#waiting = this.#waiting
      ? Buffer.concat([this.#waiting, bytes])
      : bytes;
    if (this.#isFlowing && this.#turns.hasTimeLeft) this.#pushWaiting();
    this.#waitForTurn();
    return this.#mayRead;
  }

  #receiveEnd(): boolean {
    this.#isEnded = true;
    return this.isWaiting ? false : this.#pushPart(null);
  }

  #pushWaiting(): void {
    const bytes = this.#waiting;
    if (bytes === undefined) return;
    this.#waiting = undefined;
    this.#turns.run(() => this.#pushPart(bytes));
    if (this.#isEnded && !this.isWaiting) this.#pushPart(null);
  }

  #waitForTurn(): void {
    if (this.isWaiting && this.#isFlowing) this.#turns.wait(this);
  }

  #resume(): void {
    // Node pauses the connection so while many unsent responses wait.
    if ((this.#socket as Socket & { _paused?: boolean })._paused) {
      this.#socket.pause();
    } else {
      this.#waitForTurn();
      this.#updateReading();
    }
  }

  #drop(): void {
    this.#waiting = undefined;
    this.#turns.remove(this);
  }
}
