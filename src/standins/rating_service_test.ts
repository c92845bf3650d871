import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createHttpHostList,
  createHttpRatingService,
} from "../adapters/index.js";
import { createAnswer } from "./answers.js";
import {
  expectOk,
  NEVER_ABORTED,
  SUITE_TIMEOUT_MS,
  startTestStandin,
} from "./testing.js";

const CALLS = 400;

function createSubmission(requestId: string, acceptable: boolean) {
  const version = "small-1";
  const chunks = createAnswer({ requestId, version, chunks: 5, acceptable });
  return { requestId, requestClass: "chat", version, answer: chunks.join("") };
}

describe("rating service and host list stand-ins", {
  timeout: SUITE_TIMEOUT_MS,
}, () => {
  it("judges with the given sensitivity and specificity", async (t) => {
    const options = { sensitivity: 0.9, specificity: 0.7, judgeMs: 1 };
    const { target } = await startTestStandin(t, "rating-service", options);
    const service = createHttpRatingService(target);
    for (const [acceptable, expected] of [
      [true, 0.9],
      [false, 0.3],
    ] as const) {
      const verdicts = await Promise.all(
        Array.from({ length: CALLS }, (_, index) =>
          service.judge(
            createSubmission(`r${index}`, acceptable),
            NEVER_ABORTED,
          ),
        ),
      );
      const passed = verdicts.filter((v) => v._unsafeUnwrap()).length / CALLS;
      assert.ok(Math.abs(passed - expected) < 0.08, `Judge passed ${passed}`);
    }
  });

  it("releases each rating once by cursor, after a delay and with some lost", async (t) => {
    const options = { lagMs: 500, ratedShare: 0.5, lostShare: 0.2 };
    const { target } = await startTestStandin(t, "rating-service", options);
    const service = createHttpRatingService(target);
    const submit = (from: number, to: number) =>
      Promise.all(
        Array.from({ length: to - from }, (_, index) => {
          const number = from + index;
          const submission = createSubmission(`r${number}`, number % 4 > 0);
          return service.submitForRating(submission, NEVER_ABORTED);
        }),
      );
    await submit(0, 1);
    assert.equal(
      (await expectOk(service.readRatings(0, NEVER_ABORTED))).next,
      0,
    );
    await submit(1, CALLS);
    await sleep(700);
    const first = await expectOk(service.readRatings(0, NEVER_ABORTED));
    const share = first.ratings.length / CALLS;
    assert.ok(Math.abs(share - 0.4) < 0.1, `${share} of the answers are rated`);
    for (const { requestId, accepted } of first.ratings) {
      assert.equal(accepted, Number(requestId.slice(1)) % 4 > 0);
    }
    await submit(CALLS, 2 * CALLS);
    await sleep(700);
    const second = await expectOk(
      service.readRatings(first.next, NEVER_ABORTED),
    );
    assert.ok(second.ratings.length > 0);
    const newNumbers = second.ratings.map(({ requestId }) =>
      requestId.slice(1),
    );
    assert.ok(newNumbers.every((number) => Number(number) >= CALLS));
  });

  it("shows the host list as it was before the lag", async (t) => {
    const options = { lagMs: 400 };
    const { target, control } = await startTestStandin(t, "host-list", options);
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
      fetch(url, {
        method: "POST",
        body: JSON.stringify({ ...host, leaving }),
      });
    const read = async () => await expectOk(list.readHosts(NEVER_ABORTED));
    await put(false);
    assert.deepEqual(await read(), []);
    await sleep(450);
    const first = await read();
    assert.deepEqual(first, [host]);
    // The same array shows that the unchanged list was not sent again.
    assert.equal(await read(), first);
    await put(true);
    assert.deepEqual(await read(), [host]);
    await control({ lagMs: 0 });
    assert.deepEqual(await read(), [{ ...host, leaving: true }]);
    await fetch(`${url}/entry-1`, { method: "DELETE" });
    assert.deepEqual(await read(), []);
  });
});
