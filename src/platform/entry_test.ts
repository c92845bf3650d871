import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  API_KEY,
  createConfiguration,
  HOST,
  TestSystem,
} from "./entry_fixtures_test.js";

const delay = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

describe("entry on the platform", () => {
  let system: TestSystem;
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(() => system.close());

  describe("passes requests on", () => {
    // With a changed path, body or account, something else would run.
    it("keeps method, path, query and body, and names the account", async () => {
      await system.start([{ id: "i-1" }]);
      const answer = await system.call("/safe/a/b?x=1%202", {
        headers: { tenant: "forged", "kv-hold": "forged", "x-own": "kept" },
      });
      assert.equal(answer.status, 200);
      const [run] = system.listRuns("r1");
      assert.equal(run?.path, "/safe/a/b?x=1%202");
      assert.equal(run?.method, "POST");
      assert.equal(run?.body, "order");
      assert.equal(run?.headers.tenant, "farm");
      assert.equal(run?.headers["expect-instance"], "i-1");
      assert.equal(run?.headers["x-own"], "kept");
      assert.equal(run?.headers.authorization, undefined);
      assert.equal(run?.headers["kv-hold"], undefined);
      assert.ok(Number(run?.headers["deadline-ms"]) <= 3_000);
      assert.equal(answer.headers["server-stamp"], "stamp-i-1");
    });

    it("chooses the route with the longest prefix", async () => {
      await system.start([{ id: "i-1", confidence: { small: 90 } }]);
      await system.call("/stream/sized/a");
      assert.equal(system.listRuns("r1")[0]?.headers.model, "small");
    });

    it("refuses requests with an unknown key or route", async () => {
      await system.start([{ id: "i-1" }]);
      assert.equal((await system.call("/safe/a", { key: "no" })).status, 401);
      assert.equal((await system.call("/none/a")).status, 404);
      assert.equal((await system.call("/open/a", { key: "no" })).status, 200);
      assert.equal(system.listRuns("r1").length, 1);
    });
  });

  describe("requests that may run at most once", () => {
    // It may have run, so it must neither run again nor be reported as not run.
    it("answers 502 when the only attempt ends without an answer", async () => {
      await system.start([
        { id: "i-1", cutAfterEvents: 0 },
        { id: "i-2", cutAfterEvents: 0 },
      ]);
      const answer = await system.call("/once/a");
      assert.equal(answer.status, 502);
      assert.equal(answer.headers["retry-after"], undefined);
      assert.equal(system.listRuns("r1").length, 1);
    });

    it("tries another endpoint when one says that it did not run", async () => {
      await system.start([{ id: "i-1", isFull: true }, { id: "i-2" }]);
      for (let i = 0; i < 4; i++) {
        const answer = await system.call("/once/a", { id: `o${i}` });
        assert.equal(answer.status, 200);
        assert.equal(system.listRuns(`o${i}`).length, 1);
      }
    });

    // The small model did run, although its answer was then cut off.
    it("doesn't report not run after a low-confidence answer was cut off", async () => {
      await system.start([
        { id: "i-1", confidence: { small: 0 }, delayMs: 80, cutAfterEvents: 0 },
      ]);
      const replica = system.replicas.get("i-1");
      const call = system.call("/stream/sized/a");
      await system.waitFor(() => system.listRuns("r1").length === 1);
      if (replica) replica.options.isFull = true;
      const answer = await call;
      assert.equal(answer.status, 502);
      assert.equal(answer.headers["retry-after"], undefined);
    });

    // A low-confidence answer serves the caller better than a failure.
    it("delivers a low-confidence answer if the larger model fails", async () => {
      await system.start([
        { id: "i-1", confidence: { small: 0 }, delayMs: 80 },
      ]);
      const replica = system.replicas.get("i-1");
      const call = system.call("/stream/sized/a");
      await system.waitFor(() => system.listRuns("r1").length === 1);
      if (replica) replica.options.isFull = true;
      const answer = await call;
      assert.equal(answer.status, 200);
      assert.ok(answer.isComplete);
      assert.equal(answer.body.split("\n\n").length, 6);
      assert.equal(system.listRuns("r1").length, 1);
    });

    it("sends Retry-After if nothing has run", async () => {
      await system.start([{ id: "i-1", isFull: true }]);
      const answer = await system.call("/once/a");
      assert.equal(answer.status, 503);
      assert.ok(Number(answer.headers["retry-after"]) > 0);
      assert.equal(system.listRuns("r1").length, 0);
    });

    it("passes on a failure of the endpoint with its signature", async () => {
      await system.start([{ id: "i-1", isFailing: true }]);
      const answer = await system.call("/once/a");
      assert.equal(answer.status, 500);
      assert.equal(answer.headers["server-stamp"], "stamp-i-1");
      assert.equal(answer.body, "failed");
    });
  });

  describe("retries safe requests", () => {
    const faults = {
      "fails the request": { isFailing: true },
      "cuts its answer": { cutAfterEvents: 0 },
      "answers another request": { sendsWrongRequestId: true },
      "gives no answer": { neverAnswers: true },
    };
    for (const [name, fault] of Object.entries(faults)) {
      it(`asks another endpoint when one ${name}`, async () => {
        await system.start([{ id: "i-1", ...fault }, { id: "i-2" }]);
        for (let i = 0; i < 4; i++) {
          const answer = await system.call("/safe/a", { id: `s${i}` });
          assert.equal(answer.status, 200);
          assert.equal(answer.headers["server-stamp"], "stamp-i-2");
          assert.equal(answer.body.length, 200);
        }
      });
    }

    // Otherwise the caller would wait for the rest until its deadline.
    it("asks another endpoint when one stops within its answer", async () => {
      // The slower of two endpoints without failures is chosen only rarely.
      await system.start([
        { id: "i-1", stallsInBody: true },
        { id: "i-2", delayMs: 40 },
      ]);
      const hasStalled = () =>
        system.replicas.get("i-1")?.runs.some(({ path }) => path === "/safe/a");
      for (let i = 0; i < 20 && !hasStalled(); i++) {
        const answer = await system.call("/safe/a", { id: `s${i}` });
        assert.equal(answer.status, 200);
        assert.equal(answer.headers["server-stamp"], "stamp-i-2");
      }
      assert.ok(hasStalled());
    });
  });

  describe("streams", () => {
    const formatEvents = (first: number, last: number) =>
      Array.from(
        { length: last - first + 1 },
        (_, i) => `id: ${first + i}\ndata: piece ${first + i}\n\n`,
      ).join("");

    // An event that is missing or comes twice makes the whole answer wrong.
    it("continues a broken stream at the next event", async () => {
      await system.start([
        { id: "i-1", streamEvents: 8, cutAfterEvents: 3 },
        { id: "i-2", streamEvents: 8, cutAfterEvents: 5 },
        { id: "i-3", streamEvents: 8, cutAfterEvents: 3 },
      ]);
      const answer = await system.call("/stream/a");
      assert.equal(answer.body, formatEvents(0, 7));
      assert.ok(answer.isComplete);
      const first = system.logs.find(
        (line) => line.event === "endpoint-chosen",
      );
      assert.equal(answer.headers["server-stamp"], `stamp-${first?.endpoint}`);
    });

    // A normal end would hide the missing events from the caller.
    it("aborts a stream that no endpoint can continue", async () => {
      await system.start([{ id: "i-1", streamEvents: 8, cutAfterEvents: 2 }]);
      const answer = await system.call("/stream/a");
      assert.equal(answer.body, formatEvents(0, 1));
      assert.equal(answer.isComplete, false);
    });

    it("continues where the caller's earlier stream ended", async () => {
      await system.start([{ id: "i-1", streamEvents: 6 }]);
      const headers = { "last-event-id": "3" };
      const answer = await system.call("/stream/a", { headers });
      assert.equal(answer.body, formatEvents(4, 5));
    });

    it("asks the largest model after a low-confidence answer of a smaller one", async () => {
      const confidence = { small: 20, large: 80 };
      await system.start([
        { id: "i-1", confidence, delayMs: 30 },
        { id: "i-2", confidence, delayMs: 30 },
      ]);
      const answer = await system.call("/stream/sized/a");
      assert.equal(answer.headers.confidence, "80");
      assert.deepEqual(
        system.listRuns("r1").map((run) => run.headers.model),
        ["small", "large"],
      );
      assert.equal(answer.body, formatEvents(0, 4));
    });

    it("aborts the endpoint's work when the caller disconnects", async () => {
      await system.start([{ id: "i-1", streamEvents: 100, delayMs: 20 }]);
      const controller = new AbortController();
      const call = system.call("/stream/a", {
        signal: controller.signal,
        onData: () => controller.abort(),
      });
      await call.catch(() => undefined);
      await system.waitFor(
        () => system.listRuns("r1")[0]?.state === "left",
        500,
      );
    });
  });

  describe("limits", () => {
    // A head that never ends would occupy its connection for ever.
    it("closes a connection whose request head is overdue", async () => {
      await system.start([{ id: "i-1" }]);
      system.store.put("config", "main", {
        ...createConfiguration(2),
        limits: { header_timeout_ms: 400 },
      });
      await system.waitFor(() =>
        system.logs.some(
          ({ event, version }) =>
            event === "configuration-in-force" && version === 2,
        ),
      );
      await system.call("/safe/a");
      const socket = connect(system.callerPort, "127.0.0.1");
      socket.resume();
      await once(socket, "connect");
      const startedAtMs = performance.now();
      socket.write("POST /safe/a HTTP/1.1\r\nHost: ");
      await once(socket, "close");
      assert.ok(performance.now() - startedAtMs < 2_500);
    });
  });

  describe("callers that have disconnected", () => {
    // A busy host may read a request only after its caller has given up.
    it("sends no request on if its caller disconnected before it was read", async () => {
      await system.start([{ id: "i-1" }]);
      const head = [
        "POST /safe/a HTTP/1.1",
        `Host: ${HOST}`,
        "Attempt-Id: left",
        `Authorization: Bearer ${API_KEY}`,
        "Deadline-Ms: 3000",
        "Content-Length: 0",
      ];
      const script = `
        const socket = require("node:net").connect(${system.callerPort}, "127.0.0.1");
        const text = ${JSON.stringify(`${head.join("\r\n")}\r\n\r\n`)};
        socket.once("connect", () => {
          process.stdout.write("connected");
          setTimeout(() => socket.write(text), 100);
          setTimeout(() => socket.destroy(), 200);
        });`;
      const caller = spawn(process.execPath, ["-e", script]);
      await once(caller.stdout, "data");
      // Blocks this process, so it reads nothing until the caller is gone.
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
      await once(caller, "close");
      await delay(200);
      assert.equal(system.listRuns("left").length, 0);
    });
  });

  describe("deadlines", () => {
    it("answers by the caller's deadline", async () => {
      await system.start([{ id: "i-1", neverAnswers: true }]);
      const startedAtMs = performance.now();
      const answer = await system.call("/once/a", { deadlineMs: 300 });
      assert.equal(answer.status, 504);
      // Callers tolerate an answer up to 250 ms late.
      assert.ok(performance.now() - startedAtMs < 300 + 250);
    });

    // Given too much time, an endpoint would work past the caller's deadline.
    it("passes only the remaining time on to a second attempt", async () => {
      await system.start([
        { id: "i-1", neverAnswers: true },
        { id: "i-2", neverAnswers: true },
      ]);
      await system.call("/safe/a", { deadlineMs: 700 });
      const deadlinesMs = system
        .listRuns("r1")
        .map((run) => Number(run.headers["deadline-ms"]))
        .sort((a, b) => b - a);
      const [firstMs = 0, secondMs = 0] = deadlinesMs;
      assert.equal(deadlinesMs.length, 2);
      assert.ok(firstMs <= 700 && secondMs <= firstMs - 140, `${deadlinesMs}`);
    });
  });

  describe("follows the store", () => {
    it("applies a new configuration and never an older one after it", async () => {
      await system.start([{ id: "i-1" }]);
      const next = createConfiguration(7);
      next.tenants = [{ name: "farm", api_keys: ["key-2"] }];
      system.store.put("config", "main", next);
      await system.waitFor(() =>
        system.logs.some((line) => line.version === 7),
      );
      assert.equal((await system.call("/safe/a")).status, 401);
      system.store.put("config", "main", createConfiguration(3));
      await delay(50);
      assert.equal(
        (await system.call("/safe/a", { key: "key-2" })).status,
        200,
      );
    });

    it("sends nothing to an endpoint that is draining or removed", async () => {
      await system.start([{ id: "i-1" }, { id: "i-2" }, { id: "i-3" }]);
      await system.startReplica({ id: "i-1" }, { state: "draining" });
      system.store.delete("servers", "i-2");
      await system.waitFor(() =>
        system.logs.some((line) => line.event === "endpoint-removed"),
      );
      for (let i = 0; i < 10; i++) {
        const answer = await system.call("/safe/a", { id: `l${i}` });
        assert.equal(answer.headers["server-stamp"], "stamp-i-3");
      }
    });

    it("sends nothing to a data centre that is evacuated", async () => {
      await system.start([{ id: "i-1" }]);
      await system.startReplica({ id: "i-2" }, { zone: "dc2" });
      system.store.put("evacuations", "dc1", {});
      await system.waitFor(
        () =>
          system.logs.some((line) => line.event === "evacuation-started") &&
          system.logs.filter((line) => line.event === "endpoint-added")
            .length === 2,
      );
      for (let i = 0; i < 6; i++) {
        const answer = await system.call("/safe/a", { id: `e${i}` });
        assert.equal(answer.headers["server-stamp"], "stamp-i-2");
      }
    });

    // Another service may have taken over the address of a replica.
    it("tries another endpoint if a different replica has the address", async () => {
      await system.start([{ id: "i-1" }]);
      const other = await system.startReplica({ id: "i-9" });
      await system.startReplica({ id: "i-2" });
      Object.assign(other.options, { id: "i-other" });
      await system.waitFor(
        () =>
          system.logs.filter((line) => line.event === "endpoint-added")
            .length === 3,
      );
      for (let i = 0; i < 6; i++) {
        assert.equal(
          (await system.call("/once/a", { id: `a${i}` })).status,
          200,
        );
      }
      assert.equal(other.runs.length, 0);
    });

    it("skips a record that can't be decoded and uses the others", async () => {
      await system.start([{ id: "i-1" }]);
      system.store.put("servers", "i-bad", { service: 7, addr: "nowhere" });
      await system.waitFor(() =>
        system.logs.some((line) => line.event === "endpoint-skipped"),
      );
      assert.equal((await system.call("/safe/a")).status, 200);
    });

    // Changes in the dropped part of the history would never be seen otherwise.
    it("lists all records again when the store has dropped the history", async () => {
      await system.start([{ id: "i-1" }]);
      await system.startReplica({ id: "i-2" });
      system.store.faults = { hidesChangesFromWatches: true };
      await delay(50);
      system.store.put("evacuations", "dc1", {});
      system.store.delete("servers", "i-1");
      system.store.compact();
      system.store.faults = {};
      await system.waitFor(() =>
        system.logs.some((line) => line.event === "endpoint-removed"),
      );
      await system.waitFor(() =>
        system.logs.some((line) => line.event === "evacuation-started"),
      );
    });

    it("reads lists of several pages", async () => {
      system.store.objectsPerPage = 2;
      await system.startStore();
      system.store.put("config", "main", createConfiguration());
      for (let i = 0; i < 5; i++) await system.startReplica({ id: `i-${i}` });
      await system.startEntry();
      await system.waitFor(() => system.isReady);
      const added = system.logs.filter(
        (line) => line.event === "endpoint-added",
      );
      assert.equal(added.length, 5);
    });

    for (const outage of ["busy", "reset", "silent"] as const) {
      // A key that is withdrawn meanwhile must not work.
      it(`refuses requests with a key as not run after a long outage (${outage})`, async () => {
        await system.start([{ id: "i-1" }], { revokeMs: 1_000 });
        system.store.faults = { outage };
        await delay(2_300);
        assert.equal(system.isReady, false);
        const answer = await system.call("/safe/a");
        assert.equal(answer.status, 503);
        assert.ok(Number(answer.headers["retry-after"]) > 0);
        const open = await system.call("/open/a", { id: "r2" });
        assert.equal(open.status, 200);
        assert.equal(system.listRuns("r1").length, 0);
        system.store.faults = {};
        await system.waitFor(() => system.isReady);
        assert.equal((await system.call("/safe/a")).status, 200);
      });
    }

    it("answers 503 until it has a configuration", async () => {
      await system.startStore();
      await system.startEntry();
      assert.equal(system.isReady, false);
      assert.equal((await system.call("/safe/a")).status, 503);
    });
  });

  describe("roll-outs", () => {
    async function startRollout(
      target: object,
      durationS: number,
    ): Promise<void> {
      await system.start([{ id: "i-1" }, { id: "i-2" }]);
      await system.startReplica({ id: "i-3", ...target }, { version: "v2" });
      system.store.put("rollouts", "svc", {
        service: "svc",
        target: "v2",
        duration_s: durationS,
      });
      await system.waitFor(() =>
        system.logs.some((line) => line.event === "rollout-ordered"),
      );
    }

    async function callUntilStatus(): Promise<unknown> {
      for (let i = 0; i < 600; i++) {
        const status = system.store.getStatus("rollouts", "svc");
        if (status !== null) return status;
        await system.call("/safe/a", { id: `v${i}` });
        await delay(3);
      }
      return undefined;
    }

    it("completes the roll-out of a good version once its traffic has moved", async () => {
      await startRollout({}, 1.5);
      const status = await callUntilStatus();
      assert.deepEqual(status, { state: "completed", target: "v2" });
      const last = await system.call("/safe/a", { id: "last" });
      assert.equal(last.headers["server-stamp"], "stamp-i-3");
    });

    it("rolls back a bad version and sends nothing more to it", async () => {
      await startRollout({ isFailing: true }, 20);
      const status = await callUntilStatus();
      assert.deepEqual(status, { state: "rolled_back", target: "v2" });
      const runsBefore = system.replicas.get("i-3")?.runs.length;
      for (let i = 0; i < 20; i++) {
        await system.call("/safe/a", { id: `b${i}` });
      }
      assert.equal(system.replicas.get("i-3")?.runs.length, runsBefore);
    });

    // The write took effect, so the entry must not repeat it for ever.
    it("settles when the answer to its write is lost", async () => {
      await startRollout({ isFailing: true }, 20);
      system.store.faults = { repliesToLose: 1 };
      await callUntilStatus();
      await system.waitFor(() =>
        system.logs.some(
          (line) =>
            line.event === "rollout-ordered" && line.outcome === "rolled-back",
        ),
      );
    });
  });

  describe("stops gracefully", () => {
    it("finishes running answers and closes their connections", async () => {
      await system.start([{ id: "i-1", streamEvents: 20, delayMs: 20 }]);
      const call = system.call("/stream/a");
      await system.waitFor(() => system.listRuns("r1").length === 1);
      const stopped = system.stop();
      assert.equal(system.isReady, false);
      const late = await system.call("/safe/a", { id: "r2" });
      assert.equal(late.status, 200);
      assert.equal(late.headers.connection, "close");
      const answer = await call;
      assert.ok(answer.isComplete);
      await stopped;
    });

    // The requests have ended, but their caller has yet to read the answers.
    it("lets a slow caller read the rest of its answers", async () => {
      const plainBytes = 1_000_000;
      const ids = Array.from({ length: 12 }, (_, index) => `r${index}`);
      await system.start([{ id: "i-1", plainAnswerBytes: plainBytes }]);
      const socket = connect(system.callerPort, "127.0.0.1");
      for (const id of ids) {
        socket.write(
          `GET /safe/a HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${id}\r\n` +
            `Authorization: Bearer ${API_KEY}\r\n\r\n`,
        );
      }
      const countEnded = () =>
        system.logs.filter(({ event }) => event === "request-ended").length;
      await system.waitFor(() => countEnded() === ids.length);
      const stopped = system.stop();
      await delay(1_000);
      let receivedBytes = 0;
      socket.on("data", (chunk) => {
        receivedBytes += chunk.length;
      });
      await new Promise((resolve) => socket.once("close", resolve));
      assert.ok(
        receivedBytes > ids.length * plainBytes,
        `${receivedBytes} bytes came`,
      );
      await stopped;
    });

    // After a stall, the timers of the stop run before connections are read.
    it("answers a request that came while the process was stalled", async () => {
      await system.start([{ id: "i-1" }], { graceMs: 4_000 });
      const socket = connect(system.callerPort, "127.0.0.1");
      let text = "";
      socket.on("data", (chunk) => {
        text += chunk.toString();
      });
      const send = (id: string) =>
        socket.write(
          `GET /safe/a HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${id}\r\n` +
            `Authorization: Bearer ${API_KEY}\r\n\r\n`,
        );
      const closed = new Promise((resolve) => socket.once("close", resolve));
      send("r1");
      await system.waitFor(() => text.includes("HTTP/1.1 200"));
      const startedAtMs = performance.now();
      const stopped = system.stop();
      // The stop begins to close idle connections after 1.2 s.
      await delay(700);
      // The event loop runs timers next, and reads connections after them.
      await new Promise((resolve) => setImmediate(resolve));
      send("r2");
      while (performance.now() < startedAtMs + 1_500);
      await closed;
      assert.match(text, /HTTP\/1\.1 503 /);
      await stopped;
    });

    // Its body ends only after the stop has begun, so it may still be refused.
    it("answers a request whose body is still arriving", async () => {
      await system.start([{ id: "i-1" }]);
      const socket = connect(system.callerPort, "127.0.0.1");
      socket.write(
        `POST /once/a HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: r1\r\n` +
          `Authorization: Bearer ${API_KEY}\r\nContent-Length: 2\r\n\r\na`,
      );
      await delay(100);
      const stopped = system.stop();
      await delay(1_000);
      socket.write("b");
      let answer = "";
      socket.on("data", (chunk) => {
        answer += chunk.toString();
      });
      await new Promise((resolve) => socket.once("close", resolve));
      assert.match(answer, /^HTTP\/1\.1 503 /);
      assert.equal(system.listRuns("r1").length, 0);
      await stopped;
    });
  });

  // Node.js warnings are not structured log lines, and they hide real leaks.
  it("starts without a warning from Node.js", async () => {
    const warnings: string[] = [];
    const record = ({ name }: Error) => warnings.push(name);
    process.on("warning", record);
    await system.start([{ id: "i-1" }]);
    await system.call("/safe/a");
    await delay(300);
    process.off("warning", record);
    assert.deepEqual(warnings, []);
  });

  it("logs one line for each decision with the request's id", async () => {
    await system.start([{ id: "i-1" }]);
    await system.call("/safe/a");
    const events = system.logs
      .filter((line) => line.request === "r1")
      .map((line) => line.event);
    assert.deepEqual(events, ["endpoint-chosen", "request-ended"]);
    const chosen = system.logs.find((line) => line.event === "endpoint-chosen");
    assert.equal(chosen?.endpoint, "i-1");
    assert.equal(chosen?.config, 1);
  });

  it("matches the host regardless of its port and letter case", async () => {
    await system.start([{ id: "i-1" }]);
    const headers = { host: `${HOST.toUpperCase()}:8080` };
    assert.equal((await system.call("/safe/a", { headers })).status, 200);
  });
});
