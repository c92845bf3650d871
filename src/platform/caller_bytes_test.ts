import assert from "node:assert/strict";
import { connect } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  API_KEY,
  createConfiguration,
  HOST,
  TestSystem,
} from "./entry_fixtures_test.js";

/** Time limit for a request's head, ms; checked once a second. */
const HEADER_TIMEOUT_MS = 500;
const RUN_MS = 2_500;

const FOLLOWING_BYTES = {
  "the begin of another request": "POST /once/b HT",
  "bytes that are no request": "\u0000\r\n\r\n",
  "a head that is too large": `GET /${"x".repeat(70_000)}`,
};

// Node's server answers what it can't parse by itself, also while it is still
// to answer the request before: the caller takes that for this one's answer.
describe("a running order whose caller goes on to write", () => {
  let system: TestSystem;
  const closers: (() => void)[] = [];
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(async () => {
    for (const close of closers.splice(0)) close();
    await system.close();
  });

  for (const [name, bytes] of Object.entries(FOLLOWING_BYTES)) {
    it(`gets its own answer or none after ${name}`, async () => {
      await system.startStore();
      const configuration = createConfiguration();
      Object.assign(configuration.limits, {
        header_timeout_ms: HEADER_TIMEOUT_MS,
      });
      system.store.put("config", "main", configuration);
      await system.startReplica({ id: "i-1", delayMs: RUN_MS });
      await system.startEntry();
      await system.waitFor(() => system.isReady);
      const socket = connect(system.callerPort, "127.0.0.1");
      closers.push(() => socket.destroy());
      let text = "";
      let isClosed = false;
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        text += data.toString();
      });
      socket.once("close", () => {
        isClosed = true;
      });
      socket.write(
        `POST /once/a HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: r1\r\nAuthorization: Bearer ${API_KEY}\r\nDeadline-Ms: 4000\r\nContent-Length: 5\r\n\r\norder`,
      );
      await system.waitFor(() => system.listRuns("r1").length === 1);
      socket.write(bytes);
      await system.waitFor(() => isClosed || text.includes("\r\n\r\n"));
      assert.ok(text === "" || text.startsWith("HTTP/1.1 200 "), text);
    });
  }
});
