import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { createConfiguration, TestSystem } from "./entry_fixtures_test.js";
import {
  blockEventLoop,
  createRequestText,
  RawCaller,
} from "./raw_caller_fixtures_test.js";

const IDS = ["r1", "r2", "r3"];
const RUN_MS = 100;

// Node closes a connection after the first answer that says so. Requests behind
// it on the connection have run by then, and their answers are lost.
describe("requests behind one another on a connection", () => {
  let system: TestSystem;
  const closers: (() => void)[] = [];
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(async () => {
    for (const close of closers.splice(0)) close();
    await system.close();
  });

  const connectCaller = () => {
    const caller = new RawCaller(system.callerPort);
    closers.push(() => caller.close());
    return caller;
  };
  const listRunIds = () => IDS.filter((id) => system.listRuns(id).length > 0);
  const assertRunsAnswered = (caller: RawCaller) => {
    const answeredIds = caller.answers.map(({ requestId }) => requestId);
    assert.deepEqual(answeredIds, IDS.slice(0, answeredIds.length));
    assert.deepEqual(
      listRunIds().filter((id) => !answeredIds.includes(id)),
      [],
      `answered ${answeredIds}`,
    );
    const earlier = caller.answers.slice(0, -1);
    assert.ok(earlier.every(({ isLastOfConnection }) => !isLastOfConnection));
  };

  for (const path of ["/safe/a", "/once/a"]) {
    it(`are all answered as a planned stop begins, at ${path}`, async () => {
      await system.start([{ id: "i-1", delayMs: RUN_MS }]);
      const caller = connectCaller();
      const stopped = system.stop();
      caller.write(IDS.map((id) => createRequestText(id, { path })).join(""));
      await system.waitFor(() => caller.isClosed);
      assert.deepEqual(listRunIds(), IDS);
      assertRunsAnswered(caller);
      assert.ok(caller.answers.at(-1)?.isLastOfConnection);
      await stopped;
    });

    it(`are all answered where the stop begins as they run, at ${path}`, async () => {
      await system.start([{ id: "i-1", delayMs: RUN_MS }]);
      const caller = connectCaller();
      caller.write(IDS.map((id) => createRequestText(id, { path })).join(""));
      await system.waitFor(() => listRunIds().length === IDS.length);
      const stopped = system.stop();
      await system.waitFor(() => caller.isClosed);
      assertRunsAnswered(caller);
      await stopped;
    });

    it(`are all answered while the event loop is late, at ${path}`, async () => {
      await system.start([{ id: "i-1", delayMs: RUN_MS }]);
      const caller = connectCaller();
      blockEventLoop(2_500);
      await system.waitFor(() =>
        system.logs.some(({ event }) => event === "loop-late"),
      );
      caller.write(IDS.map((id) => createRequestText(id, { path })).join(""));
      await system.waitFor(
        () => caller.isClosed || caller.answers.length === IDS.length,
      );
      assert.deepEqual(listRunIds(), IDS);
      assertRunsAnswered(caller);
    });
  }

  // The answers are sent in the order of the requests, not in that of the runs.
  it("are answered in their order where the first one runs longest", async () => {
    await system.startStore();
    const configuration = createConfiguration();
    const [route] = configuration.routes;
    if (route === undefined) throw new Error("No route");
    configuration.routes = [
      { ...route, name: "slow", prefix: "/slow/", service: "slow" },
      ...configuration.routes,
    ];
    const [service] = configuration.services;
    if (service === undefined) throw new Error("No service");
    configuration.services = [...configuration.services];
    configuration.services.push({ ...service, name: "slow" });
    system.store.put("config", "main", configuration);
    await system.startReplica({ id: "i-1", delayMs: 500 }, { service: "slow" });
    await system.startReplica({ id: "i-2", delayMs: 10 });
    await system.startEntry();
    await system.waitFor(() => system.isReady);
    const caller = connectCaller();
    const stopped = system.stop();
    const paths = ["/slow/a", "/once/a", "/once/a"];
    caller.write(
      IDS.map((id, i) => createRequestText(id, { path: paths[i] })).join(""),
    );
    await system.waitFor(() => caller.isClosed);
    assert.deepEqual(listRunIds(), IDS);
    assertRunsAnswered(caller);
    await stopped;
  });

  const CLOSING_REQUESTS = {
    "that asks for the close": { lines: ["Connection: close"] },
    "of HTTP/1.0": { httpVersion: "1.0" },
  };
  for (const [name, options] of Object.entries(CLOSING_REQUESTS)) {
    // Nothing behind such a request is answered, so nothing of it may run.
    it(`end with one ${name}, and both get their answers`, async () => {
      await system.start([{ id: "i-1", delayMs: RUN_MS }]);
      const caller = connectCaller();
      const path = "/once/a";
      caller.write(
        createRequestText("r1", { path }) +
          createRequestText("r2", { path, ...options }) +
          createRequestText("r3", { path }),
      );
      await system.waitFor(() => caller.isClosed);
      assert.deepEqual(listRunIds(), ["r1", "r2"]);
      assertRunsAnswered(caller);
      assert.equal(caller.answers.length, 2);
    });
  }

  // Nothing may run behind a refusal that closes the connection.
  it("are not passed on where one without a host is refused before them", async () => {
    await system.start([{ id: "i-1", delayMs: RUN_MS }]);
    const caller = connectCaller();
    const [r1 = "", r2 = "", r3 = ""] = IDS.map((id) => createRequestText(id));
    caller.write(r1 + r2.replace(/Host: .*\r\n/, "") + r3);
    await system.waitFor(
      () => caller.isClosed || caller.answers.length === IDS.length,
    );
    const answeredCount = caller.answers.length;
    assert.equal(caller.answers[0]?.status, 200);
    assert.equal(caller.answers[1]?.status, 400);
    assert.equal(listRunIds().includes("r3"), answeredCount === 3);
  });

  // The refusal of the second one is written before its body has come.
  it("are all answered where one is refused before its body is read", async () => {
    await system.start([{ id: "i-1", delayMs: RUN_MS }]);
    const caller = connectCaller();
    const stopped = system.stop();
    const body = "x".repeat(150_000);
    caller.write(
      createRequestText("r1", { path: "/once/a" }) +
        createRequestText("r2", { path: "/once/a", body }) +
        createRequestText("r3", { path: "/once/a" }),
    );
    await system.waitFor(() => caller.isClosed);
    assert.deepEqual(
      caller.answers.slice(0, 2).map(({ status }) => status),
      [200, 413],
    );
    assertRunsAnswered(caller);
    await stopped;
  });

  // The rest of a refused body has 1 s, after which its connection was closed.
  it("are answered where a body behind them is refused and never ends", async () => {
    await system.start([{ id: "i-1", delayMs: 2_000 }]);
    const caller = connectCaller();
    caller.write(
      createRequestText("r1", { path: "/once/a" }) +
        createRequestText("r2", { path: "/once/a", bodyBytes: 150_000 }),
    );
    await system.waitFor(() => caller.isClosed, 10_000);
    assert.deepEqual(
      caller.answers.map(({ status }) => status),
      [200, 413],
    );
    assertRunsAnswered(caller);
  });

  // A connection is not read to its end while requests on it wait.
  it("are given up when their caller disconnects while some wait", async () => {
    await system.start([{ id: "i-1", delayMs: 3_000 }]);
    const caller = connectCaller();
    const ids = Array.from({ length: 20 }, (_, i) => `waiting-${i}`);
    caller.write(ids.map((id) => createRequestText(id)).join(""));
    const listAllRuns = () => ids.flatMap((id) => system.listRuns(id));
    await system.waitFor(() => listAllRuns().length > 1);
    caller.close();
    await system.waitFor(
      () => listAllRuns().every(({ state }) => state === "left"),
      500,
    );
  });

  // Endpoints would go on working for nobody, for as long as the run lasts.
  it("are all given up when their caller disconnects", async () => {
    await system.start([{ id: "i-1", delayMs: 3_000 }]);
    const caller = connectCaller();
    caller.write(
      IDS.map((id) => createRequestText(id, { path: "/stream/a" })).join(""),
    );
    await system.waitFor(() => listRunIds().length === IDS.length);
    caller.close();
    await system.waitFor(
      () => IDS.every((id) => system.listRuns(id)[0]?.state === "left"),
      500,
    );
  });
});
