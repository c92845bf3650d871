import assert from "node:assert/strict";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { createConfiguration, TestSystem } from "./entry_fixtures_test.js";
import { createReplicaSpec, type ReplicaOptions } from "./standins/replica.js";

const EVENT_COUNT = 8;
const EVENT_MS = 20;
const DEADLINE_MS = 3_500;
/** Overlap of two endpoints that the platform counts as run twice, ms. */
const TWICE_MS = 400;
const STREAM = Array.from(
  { length: EVENT_COUNT },
  (_, id) => `id: ${id}\ndata: piece ${id}\n\n`,
).join("");

describe("attempts beside a silent endpoint", () => {
  let system: TestSystem;
  const closers: (() => void)[] = [];
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(async () => {
    for (const close of closers.splice(0)) close();
    await system.close();
  });

  const createOptions = (
    id: string,
    options: Partial<ReplicaOptions> = {},
  ): ReplicaOptions => ({
    id,
    streamEvents: EVENT_COUNT,
    delayMs: EVENT_MS,
    ...options,
  });

  async function waitForEndpoints(count: number): Promise<void> {
    await system.waitFor(
      () =>
        system.logs.filter(({ event }) => event === "endpoint-added").length >=
        count,
    );
  }

  /** Registers an endpoint that answers with `answer`. */
  async function startServer(
    id: string,
    answer: (request: IncomingMessage, response: ServerResponse) => void,
  ): Promise<void> {
    const server = createServer(answer);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    closers.push(() => {
      server.close();
      server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    system.store.put("servers", id, createReplicaSpec(port));
  }

  // The time in which two may work began anew with each further attempt.
  it("is not worked on by two endpoints for long where the second is silent too", async () => {
    await system.start([
      createOptions("i-1", { pause: { afterEvents: 3, ms: 3_000 } }),
    ]);
    await waitForEndpoints(1);
    const answer = system.call("/stream/a", { deadlineMs: DEADLINE_MS });
    await system.waitFor(() => system.listRuns("r1").length > 0);
    for (const id of ["i-2", "i-3"]) {
      await system.startReplica(
        createOptions(id, { pause: { beforeHead: true, ms: 900 } }),
      );
    }
    const { body, isComplete } = await answer;
    assert.deepEqual({ body, isComplete }, { body: STREAM, isComplete: true });
    const runs = system.listRuns("r1");
    assert.ok(runs.length > 1);
    await system.waitFor(() =>
      runs.every(({ endedAtMs }) => endedAtMs !== undefined),
    );
    const ends = runs.map(
      ({ endedAtMs = Number.POSITIVE_INFINITY }) => endedAtMs,
    );
    for (const [i, { startedAtMs }] of runs.entries()) {
      for (const earlierEndMs of ends.slice(0, i)) {
        const endMs = Math.min(earlierEndMs, ends[i] ?? 0);
        const overlapMs = endMs - startedAtMs;
        assert.ok(overlapMs < TWICE_MS, `two worked for ${overlapMs} ms`);
      }
    }
  });

  // The other endpoint had no event to add, and an empty answer may mean
  // anything, but the first one had been given up for its head.
  it("has its whole stream where all but its end had come", async () => {
    await system.start([
      createOptions("i-1", { pause: { afterEvents: EVENT_COUNT, ms: 1_000 } }),
      createOptions("i-2", { pause: { afterEvents: EVENT_COUNT, ms: 1_000 } }),
    ]);
    await waitForEndpoints(2);
    const { body, isComplete } = await system.call("/stream/a", {
      deadlineMs: DEADLINE_MS,
    });
    assert.deepEqual({ body, isComplete }, { body: STREAM, isComplete: true });
  });

  // Each further silence of an earlier attempt started another one.
  it("gives each endpoint its time before the next one is tried", async () => {
    const configuration = createConfiguration();
    for (const route of configuration.routes) route.attempts = 6;
    await system.start([]).catch(() => undefined);
    system.store.put("config", "main", { ...configuration, version: 2 });
    for (let i = 1; i <= 6; i++) {
      await system.startReplica(
        createOptions(`i-${i}`, { pause: { beforeHead: true, ms: 2_000 } }),
      );
    }
    await waitForEndpoints(6);
    await new Promise((resolve) => setTimeout(resolve, 500));
    await system
      .call("/safe/a", { deadlineMs: DEADLINE_MS })
      .catch(() => undefined);
    const starts = system.listRuns("r1").map(({ startedAtMs }) => startedAtMs);
    const gaps = starts
      .slice(1)
      .map((atMs, i) => Math.round(atMs - (starts[i] ?? 0)));
    assert.ok(
      gaps.every((ms) => ms >= 200),
      `attempts started after ${gaps} ms`,
    );
  });

  // An endpoint that was only cancelled counted as one that had been tried.
  it("is resumed by an endpoint that was cancelled for it before", async () => {
    const options = {
      delayMs: 150,
      pause: { afterEvents: 3, ms: 300 },
      cutAfterEvents: 6,
    };
    await system.start([
      createOptions("i-1", options),
      createOptions("i-2", options),
    ]);
    await waitForEndpoints(2);
    const { body, isComplete } = await system.call("/stream/a", {
      deadlineMs: DEADLINE_MS,
    });
    assert.deepEqual(
      system.listRuns("r1").map(({ state }) => state),
      ["cut", "left", "complete"],
    );
    assert.deepEqual({ body, isComplete }, { body: STREAM, isComplete: true });
  });

  /** An endpoint whose failures never end. */
  const startFailing = (id: string) =>
    startServer(id, (request, response) => {
      response.writeHead(500, {
        "Attempt-Id": String(request.headers["attempt-id"]),
        "Server-Stamp": `stamp-${id}`,
        "Content-Length": "100",
      });
      response.write("failed");
    });

  // The failure was known, but its attempt counted as one at work.
  it("has its whole stream where another endpoint's failure has no end", async () => {
    await system.start([
      createOptions("i-1", { pause: { afterEvents: 3, ms: 1_200 } }),
    ]);
    await waitForEndpoints(1);
    const answer = system.call("/stream/a", { deadlineMs: DEADLINE_MS });
    await system.waitFor(() => system.listRuns("r1").length > 0);
    await startFailing("i-2");
    const { body, isComplete } = await answer;
    assert.deepEqual({ body, isComplete }, { body: STREAM, isComplete: true });
  });

  it("has its answer where another endpoint's failure has no end", async () => {
    await system.start([
      createOptions("i-1", { pause: { beforeHead: true, ms: 1_000 } }),
    ]);
    await startFailing("i-2");
    await waitForEndpoints(2);
    const answers = await Promise.all(
      ["r1", "r2", "r3", "r4"].map((id) =>
        system.call("/safe/a", { id, deadlineMs: DEADLINE_MS }),
      ),
    );
    assert.deepEqual(
      answers.map(({ status }) => status),
      [200, 200, 200, 200],
    );
  });
});
