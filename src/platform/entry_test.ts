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
    // A changed path, body or account would run something nobody asked for.
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

    it("takes the longest prefix", async () => {
      await system.start([{ id: "i-1", confidence: { small: 90 } }]);
      await system.call("/stream/sized/a");
      assert.equal(system.listRuns("r1")[0]?.headers.model, "small");
    });

    it("refuses unknown keys and routes", async () => {
      await system.start([{ id: "i-1" }]);
      assert.equal((await system.call("/safe/a", { key: "no" })).status, 401);
      assert.equal((await system.call("/none/a")).status, 404);
      assert.equal((await system.call("/open/a", { key: "no" })).status, 200);
      assert.equal(system.listRuns("r1").length, 1);
    });
  });

  describe("runs what may run once at most once", () => {
    // The order may have run, so neither a second run nor "not run" is true.
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

    it("goes elsewhere when an endpoint says that it did not run", async () => {
      await system.start([{ id: "i-1", isFull: true }, { id: "i-2" }]);
      for (let i = 0; i < 4; i++) {
        const answer = await system.call("/once/a", { id: `o${i}` });
        assert.equal(answer.status, 200);
        assert.equal(system.listRuns(`o${i}`).length, 1);
      }
    });

    // "Not run" would be false: the small model's answer was made and broke.
    it("doesn't say not run after a doubted answer broke", async () => {
      await system.start([
        { id: "i-1", confidence: { small: 0 }, delayMs: 80, cutAfterEvents: 0 },
      ]);
      const full = system.replicas.get("i-1");
      const call = system.call("/stream/sized/a");
      await system.waitFor(() => system.listRuns("r1").length === 1);
      if (full) full.options.isFull = true;
      const answer = await call;
      assert.equal(answer.status, 502);
      assert.equal(answer.headers["retry-after"], undefined);
    });

    // A doubtful answer serves the caller better than a failure.
    it("delivers a doubted answer where the larger model fails", async () => {
      await system.start([
        { id: "i-1", confidence: { small: 0 }, delayMs: 80 },
      ]);
      const full = system.replicas.get("i-1");
      const call = system.call("/stream/sized/a");
      await system.waitFor(() => system.listRuns("r1").length === 1);
      if (full) full.options.isFull = true;
      const answer = await call;
      assert.equal(answer.status, 200);
      assert.ok(answer.isComplete);
      assert.equal(answer.body.split("\n\n").length, 6);
      assert.equal(system.listRuns("r1").length, 1);
    });

    it("says when to return where nothing has run", async () => {
      await system.start([{ id: "i-1", isFull: true }]);
      const answer = await system.call("/once/a");
      assert.equal(answer.status, 503);
      assert.ok(Number(answer.headers["retry-after"]) > 0);
      assert.equal(system.listRuns("r1").length, 0);
    });

    it("passes a failure of the endpoint on with its signature", async () => {
      await system.start([{ id: "i-1", isFailing: true }]);
      const answer = await system.call("/once/a");
      assert.equal(answer.status, 500);
      assert.equal(answer.headers["server-stamp"], "stamp-i-1");
      assert.equal(answer.body, "failed");
    });
  });

  describe("repeats what may run again", () => {
    const faults = {
      "fails the request": { isFailing: true },
      "cuts its answer": { cutAfter: 0 },
      "answers another request": { answersCrossed: true },
      "gives no answer": { isMute: true },
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

    // The head alone is no answer; the caller would wait for its deadline.
    it("asks another endpoint when one stops within its answer", async () => {
      // The slower one of two sound endpoints is chosen now and then only.
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
    const pieces = (first: number, last: number) =>
      Array.from(
        { length: last - first + 1 },
        (_, i) => `id: ${first + i}\ndata: piece ${first + i}\n\n`,
      ).join("");

    // A piece that is missing or comes twice spoils the whole answer.
    it("continues a broken stream at the next event", async () => {
      await system.start([
        { id: "i-1", streamEvents: 8, cutAfterEvents: 3 },
        { id: "i-2", streamEvents: 8, cutAfterEvents: 5 },
        { id: "i-3", streamEvents: 8, cutAfterEvents: 3 },
      ]);
      const answer = await system.call("/stream/a");
      assert.equal(answer.body, pieces(0, 7));
      assert.ok(answer.isComplete);
      const first = system.logs.find(
        (line) => line.event === "endpoint-chosen",
      );
      assert.equal(answer.headers["server-stamp"], `stamp-${first?.endpoint}`);
    });

    // An end that looks complete would hide the loss from the caller.
    it("breaks off a stream that nobody can continue", async () => {
      await system.start([{ id: "i-1", streamEvents: 8, cutAfterEvents: 2 }]);
      const answer = await system.call("/stream/a");
      assert.equal(answer.body, pieces(0, 1));
      assert.equal(answer.isComplete, false);
    });

    it("goes on where the caller's earlier stream ended", async () => {
      await system.start([{ id: "i-1", streamEvents: 6 }]);
      const headers = { "last-event-id": "3" };
      const answer = await system.call("/stream/a", { headers });
      assert.equal(answer.body, pieces(4, 5));
    });

    it("asks the largest model when a smaller one doubts its answer", async () => {
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
      assert.equal(answer.body, pieces(0, 4));
    });

    it("ends the endpoint's work when the caller leaves", async () => {
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
    // A head that never ends would hold its connection for ever.
    it("ends a connection whose head is overdue", async () => {
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

  describe("callers that have left", () => {
    // A busy host reads a request after its caller gave up on it.
    it("sends nothing on when the close was there before the read", async () => {
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
      // Nothing is read until the caller has left.
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
      // A quarter of a second late is what callers bear.
      assert.ok(performance.now() - startedAtMs < 300 + 250);
    });

    // An endpoint that is handed too much time works for nobody.
    it("hands on the time that is left for a second attempt", async () => {
      await system.start([
        { id: "i-1", neverAnswers: true },
        { id: "i-2", neverAnswers: true },
      ]);
      await system.call("/safe/a", { deadlineMs: 700 });
      const times = system
        .listRuns("r1")
        .map((run) => Number(run.headers["deadline-ms"]))
        .sort((a, b) => b - a);
      const [first = 0, second = 0] = times;
      assert.equal(times.length, 2);
      assert.ok(first <= 700 && second <= first - 140, `${times}`);
    });
  });

  describe("follows the store", () => {
    it("puts a new configuration in force and never goes back", async () => {
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

    it("sends nothing to an endpoint that leaves or is gone", async () => {
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
    it("goes elsewhere when another replica has the address", async () => {
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

    it("skips a record that can't be read and uses the others", async () => {
      await system.start([{ id: "i-1" }]);
      system.store.put("servers", "i-bad", { service: 7, addr: "nowhere" });
      await system.waitFor(() =>
        system.logs.some((line) => line.event === "endpoint-skipped"),
      );
      assert.equal((await system.call("/safe/a")).status, 200);
    });

    // What changed while the history was dropped would stay unknown for ever.
    it("reads the whole list again when the history is gone", async () => {
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
      // A key that was withdrawn meanwhile must not work.
      it(`refuses keys as not run while the store is ${outage} too long`, async () => {
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

    it("answers 503 until it knows a configuration", async () => {
      await system.startStore();
      await system.startEntry();
      assert.equal(system.isReady, false);
      assert.equal((await system.call("/safe/a")).status, 503);
    });
  });

  describe("rollouts", () => {
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

    it("completes a good version after its traffic has moved", async () => {
      await startRollout({}, 1.5);
      const status = await callUntilStatus();
      assert.deepEqual(status, { state: "completed", target: "v2" });
      const last = await system.call("/safe/a", { id: "last" });
      assert.equal(last.headers["server-stamp"], "stamp-i-3");
    });

    it("rolls a bad version back and sends nothing more to it", async () => {
      await startRollout({ isFailing: true }, 20);
      const status = await callUntilStatus();
      assert.deepEqual(status, { state: "rolled_back", target: "v2" });
      const before = system.replicas.get("i-3")?.runs.length;
      for (let i = 0; i < 20; i++) {
        await system.call("/safe/a", { id: `b${i}` });
      }
      assert.equal(system.replicas.get("i-3")?.runs.length, before);
    });

    // The write took effect, so writing it again must not be needed for ever.
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

    // The entry is done with the requests, but their caller is not.
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
      let size = 0;
      socket.on("data", (chunk) => {
        size += chunk.length;
      });
      await new Promise((resolve) => socket.once("close", resolve));
      assert.ok(size > ids.length * plainBytes, `${size} bytes came`);
      await stopped;
    });

    // After a stall the timers of the stop run before the connections are read.
    it("answers a request that came while the process was held up", async () => {
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
      // Timers come next from here, and the connections after them.
      await new Promise((resolve) => setImmediate(resolve));
      send("r2");
      while (performance.now() < startedAtMs + 1_500);
      await closed;
      assert.match(text, /HTTP\/1\.1 503 /);
      await stopped;
    });

    // Its body is read after the signal, so no promise was given before.
    it("answers a request whose body is still coming", async () => {
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

  // Warnings of the runtime are no structured lines and hide real leaks.
  it("starts without a warning of the runtime", async () => {
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

  it("matches the host without its port and in any case", async () => {
    await system.start([{ id: "i-1" }]);
    const headers = { host: `${HOST.toUpperCase()}:8080` };
    assert.equal((await system.call("/safe/a", { headers })).status, 200);
  });
});
