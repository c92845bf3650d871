import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { delay } from "../testbed/delay.js";
import { TestSystem } from "./entry_fixtures_test.js";
import { parseAnswer } from "./headers.js";
import type { ReplicaStandin } from "./standins/replica.js";

describe("what endpoints ask of the entry", () => {
  let system: TestSystem;
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(() => system.close());

  function getReplica(id: string): ReplicaStandin {
    const replica = system.replicas.get(id);
    assert.ok(replica);
    return replica;
  }

  async function callMany(path: string, count: number, prefix: string) {
    const calls = Array.from({ length: count }, (_, index) =>
      system.call(path, { id: `${prefix}${index}` }),
    );
    return await Promise.all(calls);
  }

  /** Calls until the first endpoint has said what it says. */
  async function callUntilAsked(path: string, id: string): Promise<void> {
    for (let i = 0; i < 40; i++) {
      await system.call(path, { id: `first${i}` });
      if (getReplica(id).arrivals.length > 0) return;
    }
    assert.fail(`${id} was never asked`);
  }

  describe("an endpoint that says it leaves", () => {
    const answers = {
      "a plain answer": { path: "/safe/a", fault: {} },
      "the head of a stream": { path: "/stream/a", fault: {} },
      "a refusal": { path: "/safe/a", fault: { isFull: true } },
      "a failure": { path: "/safe/a", fault: { isFailing: true } },
    };
    for (const [name, { path, fault }] of Object.entries(answers)) {
      // Its store record may say so late or never.
      it(`gets nothing more after ${name}`, async () => {
        // The slower endpoint is chosen less often.
        await system.start([
          { id: "i-1", isLeaving: true, ...fault },
          { id: "i-2", delayMs: 30 },
        ]);
        await callUntilAsked(path, "i-1");
        const before = getReplica("i-1").arrivals.length;
        for (const { status } of await callMany("/safe/a", 20, "s")) {
          assert.equal(status, 200);
        }
        assert.equal(getReplica("i-1").arrivals.length, before);
      });
    }

    // The view of the fleet is old then, and the record stays as it was.
    it("gets nothing more while the store is lost", async () => {
      await system.start([{ id: "i-1", isLeaving: true }]);
      await callUntilAsked("/open/a", "i-1");
      system.store.faults = { outage: "silent" };
      const startedAtMs = performance.now();
      const answer = await system.call("/open/a", { id: "late" });
      assert.equal(answer.status, 503);
      assert.ok(performance.now() - startedAtMs < 1_000);
      assert.equal(getReplica("i-1").arrivals.length, 1);
    });

    // A record that lapsed and came back is no new start of the endpoint.
    it("is still known as leaving when its record comes back", async () => {
      await system.start([]);
      await system.startReplica({ id: "i-1", isLeaving: true }, { born: 1 });
      await system.startReplica({ id: "i-2", delayMs: 30 }, { born: 1 });
      const countEvents = (event: string) =>
        system.logs.filter(
          (line) => line.event === event && line.endpoint === "i-1",
        ).length;
      await system.waitFor(() => countEvents("endpoint-added") === 1);
      await callUntilAsked("/safe/a", "i-1");
      const spec = system.store.getSpec("servers", "i-1");
      system.store.delete("servers", "i-1");
      await system.waitFor(() => countEvents("endpoint-removed") === 1);
      system.store.put("servers", "i-1", spec);
      await system.waitFor(() => countEvents("endpoint-added") === 2);
      const before = getReplica("i-1").arrivals.length;
      await callMany("/safe/a", 10, "s");
      assert.equal(getReplica("i-1").arrivals.length, before);
      getReplica("i-1").options.isLeaving = false;
      system.store.put("servers", "i-1", { ...(spec as object), born: 2 });
      await system.waitFor(() => countEvents("endpoint-added") === 3);
      await system.waitFor(async () => {
        await system.call("/safe/a", { id: "new" });
        return getReplica("i-1").arrivals.length > before;
      });
    });
  });

  describe("an endpoint that names a time to return", () => {
    it("gets nothing for so long, also as the last one", async () => {
      await system.start([{ id: "i-1", isFull: true, retryAfter: "0.9" }]);
      await callUntilAsked("/safe/a", "i-1");
      const closedAtMs = getReplica("i-1").arrivals[0]?.atMs ?? 0;
      getReplica("i-1").options.isFull = false;
      while (performance.now() < closedAtMs + 700) {
        const startedAtMs = performance.now();
        const answer = await system.call("/safe/a", { id: "again" });
        // Its caller must not wait for an endpoint that wants nothing yet.
        assert.equal(answer.status, 503);
        assert.ok(performance.now() - startedAtMs < 300);
        const waitMs = 1_000 * Number(answer.headers["retry-after"]);
        assert.ok(startedAtMs + waitMs >= closedAtMs + 890, `${waitMs} ms`);
        await delay(30);
      }
      assert.equal(getReplica("i-1").arrivals.length, 1);
      await delay(300);
      assert.equal((await system.call("/safe/a", { id: "late" })).status, 200);
    });

    // A burst that is on its way is all that the endpoint should bear.
    it("gets no order while it wants none and another is open", async () => {
      await system.start([
        { id: "i-1", isFull: true, retryAfter: "5" },
        { id: "i-2", delayMs: 30 },
      ]);
      await callUntilAsked("/once/a", "i-1");
      const before = getReplica("i-1").arrivals.length;
      for (const { status } of await callMany("/once/a", 12, "o")) {
        assert.equal(status, 200);
      }
      assert.equal(getReplica("i-1").arrivals.length, before);
    });

    // The load that it turns away must not fall on the last one that is open.
    it("has its load refused rather than sent to a crowded endpoint", async () => {
      await system.start([
        { id: "i-1", isFull: true, retryAfter: "5" },
        { id: "i-2", delayMs: 200 },
      ]);
      await callUntilAsked("/once/a", "i-1");
      const startedAtMs = performance.now();
      const before = getReplica("i-2").arrivals.length;
      const answers = await callMany("/once/a", 40, "o");
      assert.ok(performance.now() - startedAtMs < 2_000);
      const served = answers.filter(({ status }) => status === 200);
      const refused = answers.filter(({ status }) => status === 503);
      assert.equal(served.length + refused.length, 40);
      // Twice the places of the endpoint.
      assert.equal(served.length, 16);
      assert.equal(getReplica("i-2").arrivals.length - before, 16);
      for (const { headers } of refused) {
        assert.ok(Number(headers["retry-after"]) > 3);
      }
    });

    it("is not taken at a word that can't be read", async () => {
      await system.start([{ id: "i-1", isFull: true, retryAfter: "soon" }]);
      await callUntilAsked("/safe/a", "i-1");
      const skipped = system.logs.filter(
        ({ event }) => event === "retry-after-skipped",
      );
      assert.equal(skipped[0]?.text, "soon");
      getReplica("i-1").options.isFull = false;
      await delay(200);
      assert.equal((await system.call("/safe/a", { id: "late" })).status, 200);
    });
  });

  describe("a time to return", () => {
    const parse = (text: string, date?: string) =>
      parseAnswer([
        ...(date === undefined ? [] : ["Date", date]),
        "Retry-After",
        text,
      ]).retryAfterMs;

    it("is read as seconds with a fraction", () => {
      assert.equal(parse("1.5"), 1_500);
      assert.equal(parse(" 2 "), 2_000);
      assert.equal(parse("0"), 0);
    });

    // The entry's own time of day may be off by seconds.
    it("is read as a date beside the date of its answer only", () => {
      const at = "Fri, 04 Dec 2026 11:00:10 GMT";
      assert.equal(parse(at, "Fri, 04 Dec 2026 11:00:07 GMT"), 3_000);
      assert.equal(parse(at, "Fri, 04 Dec 2026 11:00:12 GMT"), 0);
      assert.equal(parse(at), undefined);
    });

    it("is skipped where it can't be read", () => {
      const date = "Fri, 04 Dec 2026 11:00:07 GMT";
      for (const text of [
        "",
        "-1",
        "1e9",
        "Infinity",
        "5s",
        "0x10",
        "9".repeat(400),
      ]) {
        assert.equal(parse(text, date), undefined, text.slice(0, 12));
      }
    });
  });
});
