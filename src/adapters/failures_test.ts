import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { ResultAsync } from "neverthrow";
import { openLink } from "../standins/link.js";
import {
  type AnyFailure,
  createTarget,
  describeFailure,
  expectErr,
  expectFailure,
  expectOk,
  findClosedPort,
  NEVER,
  SUITE_TIMEOUT_MS,
  startRawServer,
  startTestStandin,
  TEST_TIMEOUT_MS,
} from "../standins/testing.js";
import {
  createHttpEngine,
  createHttpHostList,
  createHttpObjectStore,
  createHttpRatingService,
  createHttpService,
} from "./index.js";

const SHORT_MS = 400;

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

/** One call of each kind; `ran` is absent for the store's failures. */
function createCalls(port: number, timeoutMs = TEST_TIMEOUT_MS) {
  const target = { ...createTarget(port), timeoutMs };
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
    order: (signal) => engine.order(load, signal),
    load: (signal) => engine.readLoad(signal),
    service: (signal) =>
      createHttpService(target).callService(SERVICE_CALL, signal),
    judge: (signal) => ratings.judge(ANSWER, signal),
    ratings: (signal) => ratings.readRatings(0, signal),
    hosts: (signal) => createHttpHostList(target).readHosts(signal),
  } satisfies Record<string, Call> as Record<string, Call>;
}

/** Kind and `ran` of each call's failure. */
async function collectFailures(
  calls: ReturnType<typeof createCalls>,
  createSignal: () => AbortSignal = () => NEVER,
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
  it("says that nothing was sent when no connection is made", async () => {
    const failures = await collectFailures(createCalls(await findClosedPort()));
    for (const [name, failure] of Object.entries(failures)) {
      const store = ["read", "list", "watch", "write"].includes(name);
      assert.equal(failure, store ? "unavailable" : "unavailable no", name);
    }
  });

  it("says that a call without an answer in time may have run", async (t) => {
    const port = await startSilentServer(t);
    const failures = await collectFailures(createCalls(port, SHORT_MS));
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

  it("tells a call aborted before it was sent from one aborted after", async (t) => {
    const calls = createCalls(await startSilentServer(t));
    const before = await collectFailures(calls, () => AbortSignal.abort());
    const after = await collectFailures(calls, () =>
      AbortSignal.timeout(SHORT_MS),
    );
    for (const name of ["complete", "order", "service", "judge", "hosts"]) {
      assert.equal(before[name], "aborted no", name);
      assert.equal(after[name], "aborted unknown", name);
    }
    assert.equal(before.write, "unavailable");
    assert.equal(after.write, "outcome-unknown");
  });

  it("gives a path or header that can't be sent a typed failure", async (t) => {
    const { target } = await startTestStandin(t, "service");
    const service = createHttpService(target);
    for (const change of [{ path: "/a b\r\nx: y" }, { requestId: "a\r\nb" }]) {
      const call = { ...SERVICE_CALL, ...change };
      await expectFailure(service.callService(call, NEVER), "invalid no");
    }
  });

  it("refuses a body that is no JSON object before it is sent", async (t) => {
    const options = { versions: "v" };
    const { target, readRecord } = await startTestStandin(t, "engine", options);
    const engine = createHttpEngine(target);
    for (const body of ["", "[]", "{"]) {
      const request = { ...COMPLETION, body };
      const asked = engine.complete(request, () => {}, NEVER);
      await expectFailure(asked, "bad-request no");
    }
    assert.deepEqual((await readRecord<{ runs: unknown[] }>()).runs, []);
  });

  it("ends an answer whose stream stalls, and says that it ran", async (t) => {
    const options = { versions: "v", tokensPerSecond: 200 };
    const { target, control } = await startTestStandin(t, "engine", options);
    const engine = createHttpEngine({ ...target, idleMs: 300 });
    const request = { ...COMPLETION, body: '{"max_tokens":1000}' };
    const freeze = () => control({ frozen: true });
    const failure = await expectErr(engine.complete(request, freeze, NEVER));
    assert.equal(describeFailure(failure), "timeout yes");
    assert.ok(failure.chunks > 0 && failure.engineStartId !== undefined);
  });

  it("lets a fault in the reader of an answer surface, not pass as a broken stream", async (t) => {
    const { target } = await startTestStandin(t, "engine", { versions: "v" });
    const fault = new Error("fault in the listener");
    const onChunk = () => Promise.reject(fault);
    const asked = createHttpEngine(target).complete(COMPLETION, onChunk, NEVER);
    await assert.rejects(async () => await asked, fault);
  });

  it("closes a free connection first, so that no call meets a closing one", async (t) => {
    let free = 0;
    const server = createServer((_request, response) => response.end("{}"));
    server.keepAliveTimeout = 5_000;
    server.on("connection", (socket) => {
      free += 1;
      socket.once("end", () => {
        free -= 1;
      });
    });
    await once(server.listen(0, "127.0.0.1"), "listening");
    t.after(() => server.close());
    const { port } = server.address() as AddressInfo;
    const service = createHttpService(createTarget(port));
    await expectOk(service.callService(SERVICE_CALL, NEVER));
    assert.equal(free, 1);
    await sleep(4_500);
    assert.equal(free, 0);
  });

  it("waits for a late reply longer than a free connection is kept", async (t) => {
    const store = await startTestStandin(t, "object-store");
    const options = { versions: "v", frozen: true };
    const standin = await startTestStandin(t, "engine", options);
    const watch = createHttpObjectStore(store.target).watch(
      { key: "a", version: 0, waitMs: 4_600 },
      NEVER,
    );
    const engine = createHttpEngine(standin.target);
    const asked = engine.complete(COMPLETION, () => {}, NEVER);
    await expectOk(watch);
    await standin.control({ frozen: false });
    await expectOk(asked);
  });

  it("lets many calls share a signal without a warning of a leak", async (t) => {
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

  it("reuses the connection after an answer, so that load opens no new ones", async (t) => {
    const { target } = await startTestStandin(t, "engine", { versions: "v" });
    const { signal } = new AbortController();
    const link = await openLink({ targetPort: target.port, signal });
    t.after(() => link.close());
    const engine = createHttpEngine(createTarget(link.port));
    for (let count = 0; count < 5; count += 1) {
      (await engine.complete(COMPLETION, () => {}, NEVER))._unsafeUnwrap();
      // The connection is free once the reply's last bytes arrived.
      await sleep(20);
    }
    assert.equal(link.opened, 1);
  });
});
