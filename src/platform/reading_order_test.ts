import assert from "node:assert/strict";
import { once } from "node:events";
import { afterEach, beforeEach, describe, it } from "node:test";
import { TestSystem } from "./entry_fixtures_test.js";
import { createRequestText, RawCaller } from "./raw_caller_fixtures_test.js";

const CALLERS = 30;
const REQUESTS_AHEAD = 300;
/** Requests of each other connection that may go before the ordinary one. */
const MAX_EARLIER_REQUESTS = 2;
/** Ends a test whose request is never answered; no promise, ms. */
const GUARD_MS = 30_000;
const ORDINARY_BODY = "ordinary";

/** What callers send ahead, all at once. */
const REQUESTS = {
  // Each is refused, as nothing names the request.
  "without headers": () => "GET /safe/a HTTP/1.1\r\n\r\n",
  "of the usual form": (i: number, j: number) =>
    createRequestText(`odd-${i}-${j}`),
  "of unknown routes": (i: number, j: number) =>
    createRequestText(`odd-${i}-${j}`, { path: "/none/a" }),
};

// Connections took turns of 4 kB, which are 200 requests without headers: an
// ordinary request waited for 200 answers to each caller who sent ahead.
describe("an ordinary request beside callers who send requests ahead", () => {
  let system: TestSystem;
  const callers: RawCaller[] = [];
  /** Called as the endpoint begins to run the ordinary request. */
  let onOrdinaryRun = () => {};
  beforeEach(async () => {
    system = new TestSystem();
    const getWorkMs = (body: string) => {
      if (body === ORDINARY_BODY) onOrdinaryRun();
      return 0;
    };
    await system.start([{ id: "i-1", getWorkMs }]);
  });
  afterEach(async () => {
    for (const caller of callers.splice(0)) caller.close();
    await system.close();
  });

  const connectCallers = async (count: number) => {
    const added = Array.from({ length: count }, () => {
      const caller = new RawCaller(system.callerPort);
      callers.push(caller);
      return caller;
    });
    await Promise.all(added.map(({ socket }) => once(socket, "connect")));
    return added;
  };
  const countOddRuns = () =>
    [...system.replicas.values()]
      .flatMap(({ runs }) => runs)
      .filter(({ requestId }) => requestId.startsWith("odd")).length;
  const countOddAnswers = (odd: readonly RawCaller[]) =>
    odd.reduce((sum, { text }) => sum + text.split("HTTP/1.1 ").length - 1, 0);

  for (const [name, createText] of Object.entries(REQUESTS)) {
    for (const isNew of [false, true]) {
      const place = isNew ? "a new" : "a kept";
      it(`${name} is read soon on ${place} connection`, async () => {
        const odd = await connectCallers(CALLERS);
        const kept = isNew ? [] : await connectCallers(1);
        // The entry reads nothing until all of it has come.
        for (const [i, caller] of odd.entries()) {
          const texts = Array.from({ length: REQUESTS_AHEAD }, (_, j) =>
            createText(i, j),
          );
          caller.write(texts.join(""));
        }
        const ordinary = kept[0] ?? new RawCaller(system.callerPort);
        callers.push(ordinary);
        let earlier = Number.NaN;
        onOrdinaryRun = () => {
          // Refused ones don't run, and of those that do some are not answered.
          earlier = Math.max(countOddRuns(), countOddAnswers(odd));
        };
        ordinary.write(createRequestText("ordinary", { body: ORDINARY_BODY }));
        await system.waitFor(() => ordinary.answers.length > 0, GUARD_MS);
        assert.equal(ordinary.answers[0]?.status, 200);
        assert.ok(earlier <= CALLERS * MAX_EARLIER_REQUESTS, `${earlier}`);
      });
    }
  }
});
