import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it, type TestContext } from "node:test";
import type { ResultAsync } from "neverthrow";
import { openLink } from "../standins/link.js";
import {
  type AnyFailure,
  createLocalTarget,
  describeFailure,
  expectErr,
  expectFailure,
  expectOk,
  findClosedPort,
  NEVER_ABORTED,
  SUITE_TIMEOUT_MS,
  startRawServer,
  startTestStandin,
  TEST_TIMEOUT_MS,
  waitUntil,
} from "../standins/testing.js";
import {
  createHttpEngine,
  createHttpHostList,
  createHttpObjectStore,
  createHttpRatingService,
  createHttpService,
} from "./index.js";

const SHORT_TIMEOUT_MS = 400;

const ANSWER = {
  requestId: "r1",
  requestClass: "c",
  version: "v",
  answer: "a",
};
const COMPLETION = {
  requestId: "r1",
  version: "v",
  body: "{}",
  priority: "batch",
} as const;
const SERVICE_CALL = {
  method: "POST",
  path: "/order",
  body: "{}",
  contentType: "application/json",
};

/** One call of each adapter method. Failures of the store have no `ran`. */
function createCalls(port: number, timeoutMs = TEST_TIMEOUT_MS) {
  const target = { ...createLocalTarget(port), timeoutMs };
  const store = createHttpObjectStore(target);
  const engine = createHttpEngine({ ...target, answerTimeoutMs: timeoutMs });
  const ratings = createHttpRatingService(target);
  const load = { kind: "load", version: "v", fence: 1 } as const;
  type Call = (signal: AbortSignal) => ResultAsync<unknown, AnyFailure>;
  return {
    read: (signal) => store.read("k", signal),
    list: (signal) => store.list({ prefix: "k" }, signal),
    watch: (signal) =>
      store.watch({ key: "k", version: 0, waitMs: 10 }, signal),
    write: (signal) =>
      store.write({ key: "k", value: 1, ifVersion: 0 }, signal),
    complete: (signal) => engine.complete(COMPLETION, () => {}, signal),
    order: (signal) => engine.sendOrder(load, signal),
    load: (signal) => engine.readLoad(signal),
    service: (signal) =>
      createHttpService(target).callService(SERVICE_CALL, signal),
    judge: (signal) => ratings.judge(ANSWER, signal),
    ratings: (signal) => ratings.readRatings(0, signal),
    hosts: (signal) => createHttpHostList(target).readHosts(signal),
  } satisfies Record<string, Call> as Record<string, Call>;
}

/** Makes all calls and describes each failure by its kind and `ran`. */
async function collectFailures(
  calls: ReturnType<typeof createCalls>,
  createSignal: () => AbortSignal = () => NEVER_ABORTED,
) {
  const entries = Object.entries(calls).map(async ([name, call]) => {
    const failure = await expectErr(call(createSignal()));
    return [name, describeFailure(failure)] as const;
  });
  return Object.fromEntries(await Promise.all(entries));
}

async function startSilentServer(context: TestContext) {
  const server = await startRawServer(() => {});
  context.after(() => server.close());
  return server.port;
}

describe("adapters' failures", { timeout: SUITE_TIMEOUT_MS }, () => {
  it("reports that nothing was sent when no connection is made", async () => {
    const failures = await collectFailures(createCalls(await findClosedPort()));
    for (const [name, failure] of Object.entries(failures)) {
      const isStoreCall = ["read", "list", "watch", "write"].includes(name);
      assert.equal(
        failure,
        isStoreCall ? "unavailable" : "unavailable no",
        name,
      );
    }
  });

  it("reports that a call without an answer in time may have run", async (t) => {
    const port = await startSilentServer(t);
    const failures = await collectFailures(createCalls(port, SHORT_TIMEOUT_MS));
    assert.deepEqual(failures, {
      read: "unavailable",
      list: "unavailable",
      watch: "unavailable",
      write: "outcome-unknown",
      complete: "timeout unknown",
      order: "timeout unknown",
      load: "timeout no",
      service: "timeout unknown",
      judge: "timeout unknown",
      ratings: "timeout unknown",
      hosts: "timeout unknown",
    });
  });

  it("distinguishes a call aborted before it was sent from one aborted after", async (t) => {
    const calls = createCalls(await startSilentServer(t));
    const before = await collectFailures(calls, () => AbortSignal.abort());
    const after = await collectFailures(calls, () =>
      AbortSignal.timeout(SHORT_TIMEOUT_MS),
    );
    for (const name of ["complete", "order", "service", "judge", "hosts"]) {
      assert.equal(before[name], "aborted no", name);
      assert.equal(after[name], "aborted unknown", name);
    }
    assert.equal(before.write, "unavailable");
    assert.equal(after.write, "outcome-unknown");
  });

  it("returns a typed failure for a path or header that can't be sent", async (t) => {
    const { target } = await startTestStandin(t, "service");
    const service = createHttpService(target);
    for (const change of [{ path: "/a b\r\nx: y" }, { requestId: "a\r\nb" }]) {
      const call = { ...SERVICE_CALL, ...change };
      await expectFailure(
        service.callService(call, NEVER_ABORTED),
        "invalid no",
      );
    }
  });

  it("refuses a body that is not a JSON object before sending it", async (t) => {
    const options = { versions: "v" };
    const { target, readRecord } = await startTestStandin(t, "engine", options);
    const engine = createHttpEngine(target);
    for (const body of ["", "[]", "{"]) {
      const request = { ...COMPLETION, body };
      const completion = engine.complete(request, () => {}, NEVER_ABORTED);
      await expectFailure(completion, "bad-request no");
    }
    assert.deepEqual((await readRecord<{ runs: unknown[] }>()).runs, []);
  });

  it("ends an answer whose stream stalls, and reports that it ran", async (t) => {
    const options = { versions: "v", tokensPerSecond: 200 };
    const { target, control } = await startTestStandin(t, "engine", options);
    const engine = createHttpEngine({ ...target, idleTimeoutMs: 300 });
    const request = { ...COMPLETION, body: '{"max_tokens":1000}' };
    const freeze = () => control({ frozen: true });
    const failure = await expectErr(
      engine.complete(request, freeze, NEVER_ABORTED),
    );
    assert.equal(describeFailure(failure), "timeout yes");
    assert.ok(failure.chunks > 0 && failure.engineStartId !== undefined);
  });

  it("rethrows an error of the chunk listener instead of reporting a broken stream", async (t) => {
    const { target } = await startTestStandin(t, "engine", { versions: "v" });
    const listenerError = new Error("error in the listener");
    const onChunk = () => Promise.reject(listenerError);
    const completion = createHttpEngine(target).complete(
      COMPLETION,
      onChunk,
      NEVER_ABORTED,
    );
    await assert.rejects(async () => await completion, listenerError);
  });

  it("keeps no connection after a call, so that no call meets a closing one", async (t) => {
    let openedConnections = 0;
    let openConnections = 0;
    const server = createServer((_request, response) => response.end("{}"));
    server.keepAliveTimeout = 2 * TEST_TIMEOUT_MS;
    server.on("connection", (socket) => {
      openedConnections += 1;
      openConnections += 1;
      socket.once("close", () => {
        openConnections -= 1;
      });
    });
    await once(server.listen(0, "127.0.0.1"), "listening");
    t.after(() => server.close());
    const { port } = server.address() as AddressInfo;
    const service = createHttpService(createLocalTarget(port));
    for (let count = 1; count <= 3; count += 1) {
      await expectOk(service.callService(SERVICE_CALL, NEVER_ABORTED));
      assert.equal(openedConnections, count);
      await waitUntil(async () => openConnections === 0);
    }
  });

  it("waits for a late reply longer than an idle connection is kept", async (t) => {
    const store = await startTestStandin(t, "object-store");
    const options = { versions: "v", frozen: true };
    const standin = await startTestStandin(t, "engine", options);
    const watch = createHttpObjectStore(store.target).watch(
      { key: "a", version: 0, waitMs: 4_600 },
      NEVER_ABORTED,
    );
    const engine = createHttpEngine(standin.target);
    const completion = engine.complete(COMPLETION, () => {}, NEVER_ABORTED);
    await expectOk(watch);
    await standin.control({ frozen: false });
    await expectOk(completion);
  });

  it("lets many calls share a signal without a listener leak warning", async (t) => {
    const warnings: Error[] = [];
    const onWarning = (warning: Error) => warnings.push(warning);
    process.on("warning", onWarning);
    const { target } = await startTestStandin(t, "object-store");
    const store = createHttpObjectStore(target);
    const { signal } = new AbortController();
    const reads = Array.from({ length: 20 }, () => store.read("a", signal));
    for (const read of reads) await expectOk(read);
    process.off("warning", onWarning);
    assert.deepEqual(warnings, []);
  });

  it("opens one connection for each answer and no more, and closes it", async (t) => {
    const { target } = await startTestStandin(t, "engine", { versions: "v" });
    const { signal } = new AbortController();
    const link = await openLink({ targetPort: target.port, signal });
    t.after(() => link.close());
    const engine = createHttpEngine(createLocalTarget(link.port));
    for (let count = 1; count <= 5; count += 1) {
      (
        await engine.complete(COMPLETION, () => {}, NEVER_ABORTED)
      )._unsafeUnwrap();
      assert.equal(link.openedConnections, count);
      await waitUntil(async () => link.openConnections === 0);
    }
  });
});
