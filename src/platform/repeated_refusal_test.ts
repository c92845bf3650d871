import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { createConfiguration, TestSystem } from "./entry_fixtures_test.js";
import { createReplicaSpec } from "./standins/replica.js";

/** Statuses that promise callers that the request has not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const ANSWER_BODY = "done";

function createRefusal(id: string): string {
  return `HTTP/1.1 503 Full\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
}

function createAnswer(id: string): string {
  return `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\nContent-Length: ${ANSWER_BODY.length}\r\n\r\n${ANSWER_BODY}`;
}

/** Answers one request; `ids` are those of its connection, newest last. */
type Respond = (socket: Socket, ids: readonly string[]) => void;

describe("an endpoint that writes an earlier refusal once more", () => {
  let system: TestSystem;
  const closers: (() => void)[] = [];
  /** Ids that the endpoint has run, and those whose connection has closed. */
  let runs: string[];
  let closed: string[];
  /** How long the endpoint runs a request. */
  let runMs: number;
  beforeEach(() => {
    system = new TestSystem();
    runs = [];
    closed = [];
    runMs = 20;
  });
  afterEach(async () => {
    for (const close of closers.splice(0)) close();
    await system.close();
  });

  async function startEndpoint(id: string, respond: Respond): Promise<void> {
    const server = createServer((socket) => {
      const ids: string[] = [];
      socket.on("error", () => undefined);
      socket.once("close", () => closed.push(...ids));
      socket.on("data", (data) => {
        const requestId = /attempt-id: (\S+)/i.exec(data.toString())?.[1];
        if (requestId === undefined) return;
        ids.push(requestId);
        respond(socket, ids);
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    closers.push(() => server.close());
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    system.store.put("servers", id, createReplicaSpec(address.port));
  }

  async function startSystem(
    respond: Respond,
    endpoints: readonly string[] = ["i-1"],
    configuration = createConfiguration(),
  ): Promise<void> {
    await system.startStore();
    system.store.put("config", "main", configuration);
    for (const id of endpoints) await startEndpoint(id, respond);
    await system.startEntry();
    await system.waitFor(() => system.isReady);
  }

  function runAndAnswer(socket: Socket, id: string): void {
    runs.push(id);
    const timer = setTimeout(() => socket.write(createAnswer(id)), runMs);
    closers.push(() => clearTimeout(timer));
  }

  /** Refuses a connection's first request, and repeats that to the others. */
  const repeatRefusal: Respond = (socket, [first = "", ...others]) => {
    socket.write(createRefusal(first));
    const id = others.at(-1);
    if (id !== undefined) runAndAnswer(socket, id);
  };

  it("does not make callers believe that an order has not run", async () => {
    await startSystem(repeatRefusal);
    const refused = await system.call("/once/a", { id: "r1" });
    assert.equal(refused.status, 503);
    const { status } = await system.call("/once/a", { id: "r2" });
    assert.deepEqual(runs, ["r2"]);
    assert.ok(!NOT_RUN_STATUSES.includes(status), `status ${status}`);
  });

  it("does not make an order run at a second endpoint", async () => {
    await startSystem(repeatRefusal, ["i-1", "i-2"]);
    // Leaves a connection to each endpoint that has refused once.
    await system.call("/once/a", { id: "r1" });
    await system.call("/once/a", { id: "order-2" });
    assert.deepEqual(runs, ["order-2"]);
  });

  it("does not keep it at work on a stream that may run elsewhere by now", async () => {
    runMs = 2_000;
    await startSystem(repeatRefusal);
    await system.call("/once/a", { id: "r1" });
    const call = system.call("/stream/a", {
      id: "stream-3",
      deadlineMs: 1_500,
    });
    await system.waitFor(() => runs.includes("stream-3"));
    await system.waitFor(() => closed.includes("stream-3"), 400);
    await call;
  });

  it("is not believed when the caller uses the id of the refused order again", async () => {
    await startSystem((socket, ids) => {
      if (ids.length === 1) socket.write(createRefusal(ids[0] ?? ""));
      else repeatRefusal(socket, ids);
    });
    await system.call("/once/a", { id: "r1" });
    const { status } = await system.call("/once/a", { id: "r1" });
    assert.deepEqual(runs, []);
    assert.equal(status, 503);
  });

  // A refusal without an id can't be told from an earlier one.
  it("is not believed when the refusal names no request", async () => {
    await startSystem((socket, ids) => {
      const id = ids.at(-1) ?? "";
      if (ids.length > 1) {
        socket.write(
          "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        );
      }
      runAndAnswer(socket, id);
    });
    const first = await system.call("/once/a", { id: "r1" });
    assert.equal(first.status, 200);
    const { status } = await system.call("/once/a", { id: "r2" });
    assert.deepEqual(runs, ["r1", "r2"]);
    assert.ok(!NOT_RUN_STATUSES.includes(status), `status ${status}`);
  });

  it("does not close the endpoint to other requests for the time it had asked for", async () => {
    await startSystem((socket, ids) => {
      const id = ids.at(-1) ?? "";
      if (ids.length > 1) {
        socket.write(
          `HTTP/1.1 503 Full\r\nAttempt-Id: ${ids[0]}\r\nNot-Executed: 1\r\nRetry-After: 30\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n`,
        );
      }
      runAndAnswer(socket, id);
    });
    await system.call("/safe/a", { id: "r1" });
    await system.call("/safe/a", { id: "r2" });
    assert.equal((await system.call("/safe/a", { id: "r3" })).status, 200);
  });

  it("is named in the log with the request that it belongs to", async () => {
    await startSystem(repeatRefusal);
    await system.call("/once/a", { id: "r1" });
    await system.call("/once/a", { id: "r2" });
    const end = system.logs.find(
      ({ event, request }) => event === "attempt-ended" && request === "r2",
    );
    assert.equal(end?.answerTo, "r1");
    assert.equal(end?.reused, true);
  });

  it("is not told to have not run when its id was used on the connection before", async () => {
    await startSystem((socket, ids) => runAndAnswer(socket, ids.at(-1) ?? ""));
    await system.call("/once/a", { id: "r1" });
    const { status } = await system.call("/once/a", { id: "r1" });
    assert.ok(!NOT_RUN_STATUSES.includes(status), `status ${status}`);
  });

  // The agent hands a connection that requests wait for over by itself.
  it("is logged as read from a used connection when its request waited for that", async () => {
    const configuration = createConfiguration();
    for (const service of configuration.services) service.max_conns = 1;
    await startSystem(
      (socket, ids) => {
        const [first = "", ...others] = ids;
        if (others.length > 0) repeatRefusal(socket, ids);
        else setTimeout(() => socket.write(createRefusal(first)), 100);
      },
      ["i-1"],
      configuration,
    );
    const first = system.call("/once/a", { id: "r1" });
    await system.waitFor(() =>
      system.logs.some(({ event }) => event === "endpoint-chosen"),
    );
    const { status } = await system.call("/once/a", { id: "r2" });
    await first;
    assert.deepEqual(runs, ["r2"]);
    assert.ok(!NOT_RUN_STATUSES.includes(status), `status ${status}`);
    const end = system.logs.find(
      ({ event, request }) => event === "attempt-ended" && request === "r2",
    );
    assert.equal(end?.answerTo, "r1");
    assert.equal(end?.reused, true);
  });

  const refusalWithBody = (id: string) =>
    createRefusal(id).replace("Length: 0\r\n\r\n", "Length: 4\r\n\r\nfull");
  /** Bytes that answer the first request, and the bytes to the next one. */
  const ORDERS: Record<string, (a: string, b: string) => [string, string]> = {
    "in one packet with the first": (a, b) => [
      createRefusal(a).repeat(2),
      createAnswer(b),
    ],
    "in one packet with an answer": (a, b) => [
      createAnswer(a) + createRefusal(a),
      createAnswer(b),
    ],
    "after an answer": (a, b) => [
      createAnswer(a),
      createRefusal(a) + createAnswer(b),
    ],
    "cut, its rest before the next answer": (a, b) => [
      createRefusal(a) + createRefusal(a).slice(0, 30),
      createRefusal(a).slice(30) + createAnswer(b),
    ],
    "with a body": (a, b) => [
      refusalWithBody(a),
      refusalWithBody(a) + createAnswer(b),
    ],
    "as a success": (a, b) => [
      createRefusal(a),
      createRefusal(a).replace("503 Full", "200 OK") + createAnswer(b),
    ],
    "after informational heads": (a, b) => [
      createRefusal(a),
      `HTTP/1.1 102 Processing\r\nAttempt-Id: ${b}\r\nNot-Executed: 1\r\n\r\n${createRefusal(a)}`,
    ],
    "without its last line": (a) => [
      createRefusal(a),
      createRefusal(a).slice(0, -2),
    ],
  };
  for (const [name, order] of Object.entries(ORDERS)) {
    for (const closesAfter of [false, true]) {
      const end = closesAfter ? " and closes the connection" : "";
      it(`is not believed ${name}${end}`, async () => {
        await startSystem((socket, ids) => {
          const [first = "", next] = ids;
          const [firstBytes, nextBytes] = order(first, next ?? first);
          const isRefusedFirst = first === "r1" && next === undefined;
          if (!isRefusedFirst) runs.push(next ?? first);
          if (isRefusedFirst) socket.write(firstBytes);
          else if (next === undefined) socket.write(createAnswer(first));
          else if (closesAfter) socket.end(nextBytes);
          else socket.write(nextBytes);
        });
        await system.call("/once/a", { id: "r1" });
        const { status } = await system.call("/once/a", {
          id: "r2",
          deadlineMs: 500,
        });
        assert.ok(runs.includes("r2"));
        assert.ok(!NOT_RUN_STATUSES.includes(status), `status ${status}`);
      });
    }
  }
});
// Callers take these statuses as a promise, and an endpoint may have run it.
describe("an endpoint's answer with a status that promises callers no run", () => {
  let system: TestSystem;
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(() => system.close());

  for (const status of NOT_RUN_STATUSES) {
    it(`is not passed on with ${status} unless the endpoint says that it has not run`, async () => {
      const failureStatus = status;
      await system.start([{ id: "i-1", isFailing: true, failureStatus }]);
      for (const route of ["once", "safe"]) {
        const answer = await system.call(`/${route}/a`, { id: route });
        assert.equal(system.listRuns(route).length, 1);
        assert.equal(answer.status, 502);
        assert.equal(answer.headers["server-stamp"], undefined);
      }
    });
  }
});
