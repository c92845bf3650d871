import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import {
  REPEAT_TIMES,
  startRepeatingServer,
} from "../standins/repeating_server.js";
import { delay } from "../testbed/delay.js";
import { OBJECT_KIND, PROMPT_HOLD_KIND, StoreClient } from "./store_client.js";
import { StoreEra } from "./store_era.js";

/** Pause between two calls, in which bytes on an idle connection arrive, ms. */
const PAUSE_MS = 30;

describe("store client", () => {
  // An endless answer would otherwise fill the memory of a small host.
  it("stops reading an answer that is too large", {
    timeout: 5_000,
  }, async () => {
    const socketsClosed: Promise<void>[] = [];
    const chunk = "x".repeat(65_536);
    const server = createServer((socket: Socket) => {
      socketsClosed.push(
        new Promise((resolve) => socket.once("close", resolve)),
      );
      socket.on("error", () => undefined);
      const writeMore = () => {
        while (!socket.destroyed && socket.write(chunk));
      };
      socket.on("drain", writeMore);
      socket.once("data", () => {
        socket.write("HTTP/1.1 200 OK\r\n\r\n");
        writeMore();
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    const callResults: string[] = [];
    const client = new StoreClient({
      era: new StoreEra(() => {}),
      address: "127.0.0.1",
      port: address.port,
      onCall: (_kind, result) => callResults.push(result),
      signal: new AbortController().signal,
    });
    const list = await client.list(OBJECT_KIND.configuration, undefined);
    assert.ok(list.isErr());
    assert.equal(list.error.kind, "too-large");
    await Promise.all(socketsClosed);
    assert.deepEqual(callResults, ["too-large"]);
    server.close();
  });

  for (const repeatTime of REPEAT_TIMES) {
    // A write would count as done or refused, and a view as up to date.
    it(`takes no answer to another call that comes ${repeatTime}`, {
      timeout: 5_000,
    }, async (t) => {
      const main = { metadata: { name: "main", revision: 7 }, spec: {} };
      const written = { metadata: { name: "s1", revision: 9 }, status: {} };
      const answers: Readonly<Record<string, readonly [number, unknown]>> = {
        "GET config?watch=6&wait_ms=10": [
          200,
          { events: [{ object: main, deleted: false }], at: 7 },
        ],
        "GET servers?watch=6&wait_ms=10": [200, { events: [], at: 8 }],
        "PUT rollouts/s1/status": [200, written],
        "PUT rollouts/s2/status": [409, {}],
        "DELETE prompt-holds/h1": [404, {}],
        "GET config/main": [200, main],
      };
      const { port } = await startRepeatingServer(t, {
        repeatTime,
        answer: ({ method, path }) => {
          const call = `${method} ${path.slice("/hornbeamrill/objects/".length)}`;
          const [status, body] = answers[call] ?? [500, {}];
          return [status, JSON.stringify(body)];
        },
      });
      const results: string[] = [];
      const client = new StoreClient({
        era: new StoreEra(() => {}),
        address: "127.0.0.1",
        port,
        onCall: (kind, result) => results.push(`${kind} ${result}`),
        signal: AbortSignal.timeout(4_000),
      });
      const { configuration, endpoints, rollouts } = OBJECT_KIND;
      const revision = 1;
      const changed = await client.watch(configuration, 6, { waitMs: 10 });
      await delay(PAUSE_MS);
      const unchanged = await client.watch(endpoints, 6, { waitMs: 10 });
      await delay(PAUSE_MS);
      await client.putStatus(rollouts, { name: "s1", revision }, {});
      await delay(PAUSE_MS);
      await client.putStatus(rollouts, { name: "s2", revision }, {});
      await delay(PAUSE_MS);
      await client.delete(PROMPT_HOLD_KIND, "h1");
      await delay(PAUSE_MS);
      const read = await client.get(configuration, "main");
      assert.deepEqual(results, [
        "config ok",
        "servers ok",
        "rollouts ok",
        "rollouts conflict",
        "prompt-holds not-found",
        "config ok",
      ]);
      assert.equal(changed._unsafeUnwrap().storeRevision, 7);
      assert.deepEqual(unchanged._unsafeUnwrap().events, []);
      assert.equal(unchanged._unsafeUnwrap().storeRevision, 8);
      assert.equal(read._unsafeUnwrap().name, "main");
    });
  }
});
