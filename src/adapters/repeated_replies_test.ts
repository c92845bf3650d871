import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  REPEAT_TIMES,
  type ReceivedCall,
  startRepeatingServer,
} from "../standins/repeating_server.js";
import {
  createLocalTarget,
  describeFailure,
  expectFailure,
  expectOk,
  NEVER_ABORTED,
  SUITE_TIMEOUT_MS,
} from "../standins/testing.js";
import {
  createHttpEngine,
  createHttpObjectStore,
  createHttpRatingService,
  createHttpService,
} from "./index.js";

/** Pause between two calls, in which bytes on an idle connection arrive, ms. */
const PAUSE_MS = 30;

function createStream(text: string): string {
  const usage = { prompt_tokens: 1, completion_tokens: 1 };
  const events = [{ choices: [{ delta: { content: text } }], usage }]
    .map((event) => JSON.stringify(event))
    .concat("[DONE]");
  return events.map((event) => `data: ${event}\n\n`).join("");
}

for (const repeatTime of REPEAT_TIMES) {
  describe(`replies to another call that come ${repeatTime}`, {
    timeout: SUITE_TIMEOUT_MS,
  }, () => {
    const startServer = async (
      t: TestContext,
      answer: (call: ReceivedCall) => readonly [number, string],
    ) => {
      const server = await startRepeatingServer(t, { repeatTime, answer });
      return createLocalTarget(server.port);
    };

    // An order that ran would be reported as not run, and run once more.
    it("make no call to a service count as refused", async (t) => {
      const ran: string[] = [];
      const target = await startServer(t, ({ path }) => {
        if (path === "/full") return [429, "{}"];
        ran.push(path);
        return [200, path];
      });
      const service = createHttpService(target);
      const call = (path: string) =>
        service.callService(
          { method: "POST", path, body: "{}", contentType: "" },
          NEVER_ABORTED,
        );
      const results: string[] = [];
      for (const path of ["/full", "/order1", "/order2", "/full"]) {
        const result = await call(path);
        results.push(
          result.isOk()
            ? Buffer.from(result.value.body).toString()
            : describeFailure(result.error),
        );
        await sleep(PAUSE_MS);
      }
      assert.deepEqual(results, [
        "overloaded no",
        "/order1",
        "/order2",
        "overloaded no",
      ]);
      assert.deepEqual(ran, ["/order1", "/order2"]);
    });

    // A caller would get the answer of another caller.
    it("are no answers of an engine", async (t) => {
      const target = await startServer(t, ({ body }) => [
        200,
        createStream(JSON.parse(body).prompt),
      ]);
      const engine = createHttpEngine(target);
      for (const prompt of ["a", "b", "c"]) {
        let text = "";
        const request = {
          requestId: prompt,
          version: "v",
          body: JSON.stringify({ prompt }),
          priority: "batch",
        } as const;
        const onChunk = (chunk: { text: string }) => {
          text += chunk.text;
        };
        await expectOk(engine.complete(request, onChunk, NEVER_ABORTED));
        assert.equal(text, prompt);
        await sleep(PAUSE_MS);
      }
    });

    // Claims, the ledger and tickets rest on the outcome of conditional writes.
    it("are no outcomes of writes to the object store", async (t) => {
      const target = await startServer(t, ({ path }) => {
        if (path.endsWith("taken")) return [409, "{}"];
        if (path.endsWith("down")) return [503, "{}"];
        return [200, JSON.stringify({ version: path.length })];
      });
      const store = createHttpObjectStore(target);
      const write = async (key: string) => {
        const result = await store.write(
          { key, value: 1, ifVersion: 0 },
          NEVER_ABORTED,
        );
        await sleep(PAUSE_MS);
        return result;
      };
      await expectFailure(write("taken"), "conflict");
      await expectOk(write("free"));
      await expectFailure(write("down"), "unavailable");
      await expectOk(write("free2"));
      await expectFailure(write("taken"), "conflict");
    });

    // The versions' quality would be estimated from other answers' verdicts.
    it("are no verdicts of the judge", async (t) => {
      const target = await startServer(t, ({ body }) => [
        200,
        JSON.stringify({ passed: JSON.parse(body).answer === "good" }),
      ]);
      const ratings = createHttpRatingService(target);
      for (const answer of ["good", "bad", "good", "bad"]) {
        const question = { requestId: "r", requestClass: "c", version: "v" };
        const isPassed = await expectOk(
          ratings.judge({ ...question, answer }, NEVER_ABORTED),
        );
        assert.equal(isPassed, answer === "good");
        await sleep(PAUSE_MS);
      }
    });
  });
}
