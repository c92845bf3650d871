import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createHttpObjectStore } from "../adapters/index.js";
import { RateLimit } from "./rate_limit.js";
import {
  expectErr,
  expectFailure,
  expectOk,
  NEVER_ABORTED,
  SUITE_TIMEOUT_MS,
  startTestStandin,
} from "./testing.js";

interface WriteRecord {
  writes: { key: string; version: number; replyLost: boolean }[];
}

async function startStore(context: TestContext, options: object = {}) {
  const standin = await startTestStandin(context, "object-store", options);
  return { standin, store: createHttpObjectStore(standin.target) };
}

describe("object store stand-in", { timeout: SUITE_TIMEOUT_MS }, () => {
  it("accepts one of many concurrent writes, so that no commit is lost", async (t) => {
    const { store, standin } = await startStore(t);
    const writeConcurrently = (ifVersion: number) =>
      Promise.all(
        Array.from({ length: 20 }, (_, value) =>
          store.write({ key: "config/head", value, ifVersion }, NEVER_ABORTED),
        ),
      );
    for (const ifVersion of [0, 1]) {
      const results = await writeConcurrently(ifVersion);
      const accepted = results.filter((result) => result.isOk());
      assert.deepEqual(
        accepted.map((result) => result._unsafeUnwrap()),
        [ifVersion + 1],
      );
      const kinds = new Set(
        results.filter((r) => r.isErr()).map((r) => r._unsafeUnwrapErr().kind),
      );
      assert.deepEqual([...kinds], ["conflict"]);
    }
    for (const key of ["config/head", "config/absent"]) {
      const ahead = store.write({ key, value: 0, ifVersion: 3 }, NEVER_ABORTED);
      await expectFailure(ahead, "conflict");
    }
    const { writes } = await standin.readRecord<WriteRecord>();
    assert.deepEqual(
      writes.map(({ version }) => version),
      [1, 2],
    );
  });

  it("lists a prefix in key order across pages, so that no receipt is skipped", async (t) => {
    const { store } = await startStore(t, { writesPerSecond: 1_000 });
    const pages = Array.from({ length: 230 }, (_, index) => 1_000 + index);
    const keys = pages.map((page) => `ledger/e 1-ä/${page}`);
    for (const key of ["ledger/e0/1", ...keys, "leases/x"]) {
      await expectOk(
        store.write({ key, value: key, ifVersion: 0 }, NEVER_ABORTED),
      );
    }
    const prefix = "ledger/e 1-ä/";
    const all = await expectOk(store.list({ prefix }, NEVER_ABORTED));
    assert.deepEqual(
      all.map(({ key, value }) => [key, value]),
      keys.map((k) => [k, k]),
    );
    const after = keys[9];
    const range = { prefix, after, limit: 150 };
    const part = await expectOk(store.list(range, NEVER_ABORTED));
    assert.deepEqual(
      part.map(({ key }) => key),
      keys.slice(10, 160),
    );
  });

  it("lists all values near a megabyte, though a page is limited in bytes", async (t) => {
    const { store } = await startStore(t);
    const value = "x".repeat(900_000);
    for (let page = 0; page < 9; page += 1) {
      const key = `ledger/a/${page}`;
      await expectOk(store.write({ key, value, ifVersion: 0 }, NEVER_ABORTED));
    }
    const pages = await expectOk(
      store.list({ prefix: "ledger/a/" }, NEVER_ABORTED),
    );
    assert.deepEqual(
      pages.map(({ key }) => key.at(-1)),
      [..."012345678"],
    );
  });

  it("answers a watch at a write to its key only, so changes spread fast with few calls", async (t) => {
    const { store } = await startStore(t);
    const key = "config/head";
    const watch = (version: number, waitMs: number) =>
      store.watch({ key, version, waitMs }, NEVER_ABORTED);
    const startedMs = performance.now();
    const waiting = watch(0, 4_000);
    await sleep(100);
    await store.write(
      { key: "config/other", value: 1, ifVersion: 0 },
      NEVER_ABORTED,
    );
    await store.write({ key, value: "new", ifVersion: 0 }, NEVER_ABORTED);
    const reported = await expectOk(waiting);
    const tookMs = performance.now() - startedMs;
    assert.equal(reported?.value, "new");
    assert.ok(tookMs >= 100 && tookMs < 2_000, `Watch took ${tookMs} ms`);
    assert.equal((await expectOk(watch(0, 4_000)))?.version, 1);
    assert.equal((await expectOk(watch(1, 60)))?.version, 1);
    assert.ok(performance.now() - startedMs < 3_000);
  });

  it("keeps its data and fails all calls and waiting watches in an outage", async (t) => {
    const { store, standin } = await startStore(t);
    const key = "config/head";
    await store.write({ key, value: 1, ifVersion: 0 }, NEVER_ABORTED);
    const waiting = store.watch(
      { key, version: 1, waitMs: 4_000 },
      NEVER_ABORTED,
    );
    await sleep(50);
    for (const outage of [true, "reset"]) {
      await standin.control({ outage });
      const watch = store.watch({ key, version: 1, waitMs: 9 }, NEVER_ABORTED);
      const list = store
        .list({ prefix: "" }, NEVER_ABORTED)
        .map(([first]) => first);
      for (const call of [
        waiting,
        store.read(key, NEVER_ABORTED),
        list,
        watch,
      ]) {
        await expectFailure(call, "unavailable");
      }
      const write = await store.write(
        { key, value: 2, ifVersion: 1 },
        NEVER_ABORTED,
      );
      const kind = outage === true ? "unavailable" : "outcome-unknown";
      await expectFailure(write, kind);
    }
    await standin.control({ outage: false });
    assert.equal((await expectOk(store.read(key, NEVER_ABORTED)))?.value, 1);
    assert.equal(
      (await expectOk(store.list({ prefix: "" }, NEVER_ABORTED))).length,
      1,
    );
  });

  it("loses the reply to a write that took effect, and records that", async (t) => {
    const { store, standin } = await startStore(t);
    await standin.control({ loseReplyShare: 1 });
    const lost = await store.write(
      { key: "a", value: 5, ifVersion: 0 },
      NEVER_ABORTED,
    );
    await expectFailure(lost, "outcome-unknown");
    assert.equal((await expectOk(store.read("a", NEVER_ABORTED)))?.value, 5);
    await standin.control({ loseReplyShare: 0 });
    const { writes } = await standin.readRecord<WriteRecord>();
    assert.deepEqual(
      writes.map(({ key, replyLost }) => [key, replyLost]),
      [["a", true]],
    );
  });

  it("applies a write after its caller timed out, as a real store may", async (t) => {
    const { standin } = await startStore(t, { delayMs: 1_200 });
    const store = createHttpObjectStore({ ...standin.target, timeoutMs: 150 });
    const late = await store.write(
      { key: "a", value: 5, ifVersion: 0 },
      NEVER_ABORTED,
    );
    await expectFailure(late, "outcome-unknown");
    assert.deepEqual((await standin.readRecord<WriteRecord>()).writes, []);
    await sleep(1_000);
    assert.equal((await standin.readRecord<WriteRecord>()).writes.length, 1);
  });

  it("refuses a value over a megabyte and keeps the key absent", async (t) => {
    const { store } = await startStore(t);
    const value = "x".repeat(1_000_000);
    const failure = await store.write(
      { key: "a", value, ifVersion: 0 },
      NEVER_ABORTED,
    );
    await expectFailure(failure, "unavailable");
    assert.equal(await expectOk(store.read("a", NEVER_ABORTED)), undefined);
  });

  it("counts reads and watches against one limit and writes against another", async (t) => {
    const options = { readsPerSecond: 3, writesPerSecond: 1 };
    const { store } = await startStore(t, options);
    const watches = [1, 2].map(() =>
      store.watch({ key: "a", version: 0, waitMs: 100 }, NEVER_ABORTED),
    );
    const read = store.read("a", NEVER_ABORTED);
    await Promise.all([...watches, read]);
    const refused = await expectErr(store.read("a", NEVER_ABORTED));
    assert.equal(refused.kind, "rate-limited");
    const waitMs = refused.kind === "rate-limited" ? refused.retryAfterMs : 0;
    assert.ok(waitMs > 0 && waitMs <= 1_000, `Wait is ${waitMs} ms`);
    const write = (ifVersion: number) =>
      store.write({ key: "a", value: 1, ifVersion }, NEVER_ABORTED);
    await expectOk(write(0));
    await expectFailure(write(1), "rate-limited");
    await sleep(waitMs + 5);
    assert.ok((await store.read("a", NEVER_ABORTED)).isOk());
  });

  it("allows no more calls than the limit in any second", () => {
    let nowMs = 0;
    const limit = new RateLimit(() => nowMs);
    const allowedAtMs: number[] = [];
    for (; nowMs < 5_000; nowMs += 7) {
      if (limit.take(50) === 0) allowedAtMs.push(nowMs);
    }
    for (const at of allowedAtMs) {
      const inNextSecond = allowedAtMs.filter(
        (other) => other >= at && other < at + 1_000,
      );
      assert.ok(
        inNextSecond.length <= 50,
        `${inNextSecond.length} calls after ${at} ms`,
      );
    }
    assert.ok(
      allowedAtMs.length >= 245,
      `Only ${allowedAtMs.length} calls in 5 s`,
    );
  });
});
