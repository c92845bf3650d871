import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { computeExcessRetries } from "../proxy/fleet/retry_rule_fixtures_test.js";
import { type BuiltEntry, BuiltSystem } from "./built_entry_fixtures_test.js";

/** As in the settings of the fixture. */
const RULE = { ratio: 0.9, windowMs: 10_000, allowance: 50 };
const ENTRY_COUNT = 4;
/** As in the route of the fixture. */
const MAX_ATTEMPTS = 3;
const CALL_INTERVAL_MS = 250;
const DEADLINE_MS = 1_000;
const SETTLE_MS = 3_000;

type Failure = (socket: Socket, id: string) => void;

function answerWith(status: string, header: string): Failure {
  return (socket, id) =>
    socket.end(
      `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\n${header}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
}

/** Ways in which an endpoint fails each request. */
const FAILURES = {
  answerError: answerWith("500 Failed", "Server-Stamp: s"),
  refuse: answerWith("503 Full", "Not-Executed: 1"),
  answerMisdirected: answerWith("421 Other", "Not-Executed: 1"),
  closeConnection: (socket: Socket) => socket.end(),
  resetConnection: (socket: Socket) => socket.resetAndDestroy(),
  staySilent: () => {},
} as const;

describe("retries of several entries at endpoints that fail", () => {
  let system: BuiltSystem;
  let entries: BuiltEntry[];
  let requests: number[];
  let retries: number[];
  /** Arrivals at endpoints by request. */
  let arrivals: Map<string, number>;
  beforeEach(async () => {
    system = new BuiltSystem();
    entries = [];
    requests = [];
    retries = [];
    arrivals = new Map();
    await system.start();
  });
  afterEach(async () => {
    await system.close();
  });

  async function startEndpoints(failures: readonly Failure[]): Promise<void> {
    for (const [index, fail] of failures.entries()) {
      await system.startOddEndpoint(`odd-${index}`, (socket, id) => {
        const count = (arrivals.get(id) ?? 0) + 1;
        arrivals.set(id, count);
        if (count > 1) retries.push(performance.now());
        fail(socket, id);
      });
    }
  }

  /** Starts an entry, or starts it again under its name. */
  async function startEntry(index: number): Promise<void> {
    const seeds = entries
      .filter((_, other) => other !== index)
      .map(({ ports }) => `127.0.0.1:${ports.control}`)
      .slice(0, 3);
    entries[index] = await system.startEntry({ name: `entry-${index}`, seeds });
  }

  async function callRepeatedly(signal: AbortSignal): Promise<void> {
    const calls: Promise<unknown>[] = [];
    for (let i = 0; !signal.aborted; i++) {
      for (const [index, entry] of entries.entries()) {
        if (entry.exit !== undefined) continue;
        requests.push(performance.now());
        calls.push(entry.call("/odd/", `odd-${i}-${index}`, DEADLINE_MS));
      }
      await pause(CALL_INTERVAL_MS);
    }
    await Promise.all(calls);
  }

  /** Kills and starts the entries in turn while endpoints fail. */
  async function measureExcess(failures: readonly Failure[]): Promise<number> {
    await startEndpoints(failures);
    for (let index = 0; index < ENTRY_COUNT; index++) await startEntry(index);
    await pause(SETTLE_MS);
    const controller = new AbortController();
    const calls = callRepeatedly(controller.signal);
    await pause(1_000);
    for (let round = 0; round < 2; round++) {
      for (let index = 0; index < ENTRY_COUNT; index++) {
        await entries[index]?.process.kill();
        await startEntry(index);
        await pause(300);
      }
    }
    await pause(1_000);
    controller.abort();
    await calls;
    return computeExcessRetries({ requests, retries }, RULE);
  }

  // Each life of an entry would spend its part of the allowance once more.
  it("keep to the budget where entries restart in turn", async () => {
    const fail = FAILURES.answerError;
    const excess = await measureExcess([fail, fail, fail, fail]);
    assert.ok(excess <= 0, `${excess} retries too many`);
    assert.ok(retries.length > 0);
  });

  it("keep to the budget where the endpoints fail in all ways", async () => {
    const excess = await measureExcess(Object.values(FAILURES));
    assert.ok(excess <= 0, `${excess} retries too many`);
    assert.ok(retries.length > 0);
    const mostArrivals = Math.max(...arrivals.values());
    assert.ok(mostArrivals <= MAX_ATTEMPTS, `${mostArrivals} attempts`);
  });
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
