import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { delay } from "../../testbed/delay.js";
import { BODY_CRASH_TIME } from "./body_crash.js";
import {
  PLAIN_ANSWER_BODY,
  type ReplicaOptions,
  ReplicaStandin,
} from "./replica.js";
import { SILENCE_PLACE } from "./silence.js";

const SILENCE_MS = 150;

async function startReplica(t: TestContext, options: Partial<ReplicaOptions>) {
  const replica = new ReplicaStandin({ id: "i-1", ...options });
  const port = await replica.start();
  t.after(() => replica.close());
  const call = (path: string, body = "order") =>
    fetch(`http://127.0.0.1:${port}${path}`, {
      method: "POST",
      body,
      headers: { "attempt-id": "a1", "prefix-hash": "bad:1,own:1" },
    }).then((response) => response.text());
  return { replica, call };
}

function createSilence() {
  const untilMs = performance.now() + SILENCE_MS;
  return { untilMs, places: Object.values(SILENCE_PLACE) };
}

describe("silent replica", () => {
  for (const path of ["/once/a", "/stream/a"]) {
    it(`goes on with the answer to ${path} when its silence ends`, async (t) => {
      const { replica, call } = await startReplica(t, { streamEvents: 2 });
      const whole = await call(path);
      for (const place of Object.values(SILENCE_PLACE)) {
        const { untilMs } = createSilence();
        replica.options.silence = { untilMs, places: [place] };
        assert.equal(await call(path), whole);
        const { wasSilent = false } = replica.runs.at(-1) ?? {};
        assert.equal(performance.now() >= untilMs - 1, wasSilent);
      }
      const silentCount = replica.runs.filter(({ wasSilent }) => wasSilent);
      assert.equal(silentCount.length, 2);
    });
  }

  it("does not end a second time with a request that waited", async (t) => {
    let crashCount = 0;
    const { replica, call } = await startReplica(t, {
      silence: createSilence(),
      crashesOn: new Set(["bad"]),
      onCrash: () => crashCount++,
    });
    const broken = assert.rejects(call("/once/a"));
    await delay(SILENCE_MS / 3);
    replica.close();
    await broken;
    await delay(2 * SILENCE_MS);
    assert.equal(crashCount, 0);
  });
});

describe("replica that ends with a request", () => {
  for (const time of Object.values(BODY_CRASH_TIME)) {
    it(`breaks its answers and names the body, ${time}`, async (t) => {
      const bodies: string[] = [];
      const { call } = await startReplica(t, {
        delayMs: 5,
        crashesOnBody: new Map([["ends", time]]),
        onBodyCrash: (body) => bodies.push(body),
      });
      assert.equal(await call("/once/a"), PLAIN_ANSWER_BODY);
      await assert.rejects(call("/once/a", "ends"));
      await assert.rejects(call("/once/a"));
      assert.deepEqual(bodies, ["ends"]);
    });
  }
});
