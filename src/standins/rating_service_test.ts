import assert from "node:assert/strict";
import { it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createHttpHostList,
  createHttpRatingService,
} from "../adapters/index.js";
import { createAnswer } from "./answers.js";
import { NEVER, startTestStandin, TEST_TIMEOUT_MS } from "./testing.js";

const limits = { timeout: 2 * TEST_TIMEOUT_MS };
const CALLS = 400;

function createRated(requestId: string, acceptable: boolean) {
  const version = "small-1";
  const chunks = createAnswer({ requestId, version, chunks: 5, acceptable });
  return { requestId, requestClass: "chat", version, answer: chunks.join("") };
}

it(
  "judges with the sensitivity and specificity it is given",
  limits,
  async (t) => {
    const options = { sensitivity: 0.9, specificity: 0.7, judgeMs: 1 };
    const { target } = await startTestStandin(t, "rating-service", options);
    const service = createHttpRatingService(target);
    for (const [acceptable, expected] of [
      [true, 0.9],
      [false, 0.3],
    ] as const) {
      const verdicts = await Promise.all(
        Array.from({ length: CALLS }, (_, index) =>
          service.judge(createRated(`r${index}`, acceptable), NEVER),
        ),
      );
      const passed = verdicts.filter((v) => v._unsafeUnwrap()).length / CALLS;
      assert.ok(Math.abs(passed - expected) < 0.08, `Judge passed ${passed}`);
    }
  },
);

it(
  "releases late ratings once by cursor, with lag and loss",
  limits,
  async (t) => {
    const options = { lagMs: 200, ratedShare: 0.5, lostShare: 0.2 };
    const { target } = await startTestStandin(t, "rating-service", options);
    const service = createHttpRatingService(target);
    const submit = (from: number, to: number) =>
      Promise.all(
        Array.from({ length: to - from }, (_, index) => {
          const number = from + index;
          return service.submitForRating(
            createRated(`r${number}`, number % 4 > 0),
            NEVER,
          );
        }),
      );
    await submit(0, 1);
    assert.equal((await service.readRatings(0, NEVER))._unsafeUnwrap().next, 0);
    await submit(1, CALLS);
    await sleep(300);
    const first = (await service.readRatings(0, NEVER))._unsafeUnwrap();
    const share = first.ratings.length / CALLS;
    assert.ok(Math.abs(share - 0.4) < 0.1, `${share} of the answers are rated`);
    for (const { requestId, accepted } of first.ratings) {
      assert.equal(accepted, Number(requestId.slice(1)) % 4 > 0);
    }
    await submit(CALLS, 2 * CALLS);
    await sleep(300);
    const second = (
      await service.readRatings(first.next, NEVER)
    )._unsafeUnwrap();
    assert.ok(second.ratings.length > 0);
    assert.ok(
      second.ratings.every(
        ({ requestId }) => Number(requestId.slice(1)) >= CALLS,
      ),
    );
  },
);

it("shows the host list as it stood before the lag", limits, async (t) => {
  const { target, control } = await startTestStandin(t, "host-list", {
    lagMs: 200,
  });
  const url = `http://127.0.0.1:${target.port}/hosts`;
  const list = createHttpHostList(target);
  const host = {
    name: "entry-1",
    role: "entry",
    host: "h1",
    dataCentre: "dc1",
    address: "127.0.0.1",
    controlPort: 4_000,
    leaving: false,
  };
  const put = (leaving: boolean) =>
    fetch(url, { method: "POST", body: JSON.stringify({ ...host, leaving }) });
  const read = async () => (await list.readHosts(NEVER))._unsafeUnwrap();
  await put(false);
  assert.deepEqual(await read(), []);
  await sleep(250);
  assert.deepEqual(await read(), [host]);
  await put(true);
  assert.deepEqual(await read(), [host]);
  await control({ lagMs: 0 });
  assert.deepEqual(await read(), [{ ...host, leaving: true }]);
  await fetch(`${url}/entry-1`, { method: "DELETE" });
  assert.deepEqual(await read(), []);
});
