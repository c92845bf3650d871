/**
 * Callers that use up a process's memory or time, and the checks on the process
 * meanwhile. The checks don't depend on the speed of the machine.
 */

import assert from "node:assert/strict";
import { readdirSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import {
  type BuiltEntry,
  type BuiltEntryOptions,
  BuiltSystem,
  type CallResult,
} from "./built_entry_fixtures_test.js";
import { HOST } from "./entry_fixtures_test.js";
import { takeLock } from "./hard_load_fixtures_test.js";

const RETRY_INTERVAL_MS = 100;
const DESCRIPTOR_CHECK_INTERVAL_MS = 20;
/** Ends a test that waits for what never comes, ms. */
const GUARD_MS = 60_000;

/** Memory of the entry's host, MB: the bound of its resident memory. */
export const HOSTILE_MEMORY_MB = 130;
/** Heap of the entry, MB, so that small crowds show what large ones do. */
const HEAP_MB = 48;
/** Descriptors that the entry may hold besides one for each caller. */
const OWN_DESCRIPTORS = 100;

export function createHead(path: string, id: string, lines: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${id}\r\n${lines}\r\n\r\n`;
}

/** One test: the entry's process, its endpoints and its hostile callers. */
export class HostileRun {
  readonly system = new BuiltSystem();
  readonly sockets: Socket[] = [];
  #releaseLock: (() => Promise<void>) | undefined;
  #entry: BuiltEntry | undefined;
  #timer: NodeJS.Timeout | undefined;
  #memoryMb = HOSTILE_MEMORY_MB;
  #peakDescriptors = 0;
  #hasLeft = false;

  async start(
    limits: object = {},
    options: BuiltEntryOptions = {},
  ): Promise<void> {
    const { memoryMb = HOSTILE_MEMORY_MB } = options;
    this.#memoryMb = memoryMb;
    this.#releaseLock = await takeLock();
    await this.system.start(limits);
    await this.system.startEndpoint("i-sound");
    this.#entry = await this.system.startEntry({
      memoryMb,
      nodeFlags: [`--max-old-space-size=${HEAP_MB}`],
      ...options,
    });
    await this.#entry.waitUntilServing();
    this.#timer = setInterval(
      () => this.#countDescriptors(),
      DESCRIPTOR_CHECK_INTERVAL_MS,
    );
  }

  get entry(): BuiltEntry {
    assert.ok(this.#entry);
    return this.#entry;
  }

  get peakDescriptors(): number {
    return this.#peakDescriptors;
  }

  /** Descriptors that the entry holds now; none where it has ended. */
  #countDescriptors(): number {
    try {
      const { length } = readdirSync(`/proc/${this.entry.process.pid}/fd`);
      this.#peakDescriptors = Math.max(this.#peakDescriptors, length);
      return length;
    } catch {
      // `entry.exit` tells how it has ended.
      return 0;
    }
  }

  connect(count: number, send: (socket: Socket, i: number) => void): void {
    for (let i = 0; i < count; i++) this.#connectOne(i, send);
  }

  /** Connects callers who come again when they are closed. */
  connectAgain(count: number, send: (socket: Socket, i: number) => void): void {
    const connectOne = (i: number) => {
      const socket = this.#connectOne(i, send);
      socket.once("end", () => socket.destroy());
      socket.once("close", () => {
        if (this.#hasLeft) return;
        this.sockets.splice(this.sockets.indexOf(socket), 1);
        setTimeout(connectOne, RETRY_INTERVAL_MS, i);
      });
    };
    for (let i = 0; i < count; i++) connectOne(i);
  }

  #connectOne(i: number, send: (socket: Socket, i: number) => void): Socket {
    const { callers: port } = this.entry.ports;
    const options = { port, host: "127.0.0.1", allowHalfOpen: true };
    const socket = connect(options);
    this.sockets.push(socket);
    socket.on("error", () => undefined);
    if (!this.#hasLeft) send(socket, i);
    return socket;
  }

  /** All callers leave; resolves once the entry holds none of them. */
  async leave(): Promise<void> {
    this.#hasLeft = true;
    for (const socket of this.sockets) socket.destroy();
    const untilMs = performance.now() + GUARD_MS;
    while (this.#countDescriptors() >= OWN_DESCRIPTORS) {
      if (performance.now() > untilMs) return;
      await delay(RETRY_INTERVAL_MS);
    }
  }

  /** The entry has closed what its callers have left. */
  assertLeft(): void {
    const descriptors = this.#countDescriptors();
    assert.ok(descriptors < OWN_DESCRIPTORS, `${descriptors} descriptors`);
  }

  async waitUntil(isDone: () => boolean): Promise<void> {
    const untilMs = performance.now() + GUARD_MS;
    while (!isDone() && this.entry.exit === undefined) {
      if (performance.now() > untilMs) return;
      await delay(1);
    }
  }

  /** Resolves once the entry has read all, or reads and sends no more. */
  async waitUntilQuiet(): Promise<void> {
    const untilMs = performance.now() + GUARD_MS;
    let before = "";
    while (this.entry.exit === undefined && performance.now() < untilMs) {
      const now = this.sockets
        .map((s) => `${s.bytesWritten - s.writableLength},${s.bytesRead}`)
        .join();
      if (now === before) return;
      before = now;
      await delay(10 * RETRY_INTERVAL_MS);
    }
  }

  /** Resolves with the first answer that the check accepts, or the last one. */
  async callUntil(
    isExpected: (result: CallResult) => boolean,
    call = (id: string) => this.entry.call("/safe/sound", id, GUARD_MS),
  ): Promise<CallResult> {
    const untilMs = performance.now() + GUARD_MS;
    for (let i = 0; ; i++) {
      const result = await call(`after-${i}`);
      const isOver = performance.now() > untilMs;
      if (isExpected(result) || isOver || this.entry.exit) return result;
      await delay(RETRY_INTERVAL_MS);
    }
  }

  /** The process lives and has kept its bounds. */
  assertSound(): void {
    const { exit } = this.entry;
    this.assertBounds();
    assert.equal(exit, undefined);
  }

  assertBounds(): void {
    const { exit, peakMemoryMb } = this.entry;
    const measured = `${peakMemoryMb} MB, ${this.#peakDescriptors} descriptors, exit ${JSON.stringify(exit)}`;
    console.log(measured);
    assert.ok(peakMemoryMb < this.#memoryMb, measured);
    const maxDescriptors = this.sockets.length + OWN_DESCRIPTORS;
    assert.ok(this.#peakDescriptors < maxDescriptors, measured);
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    this.#hasLeft = true;
    for (const socket of this.sockets) socket.destroy();
    await this.system.close();
    await this.#releaseLock?.();
  }
}
