import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { createConfiguration, TestSystem } from "./entry_fixtures_test.js";
import { createReplicaSpec } from "./standins/replica.js";

const DEADLINE_MS = 3_000;
const RUN_MS = 700;
const MAX_EXCESS_MS = 200;

describe("time left that endpoints are told", () => {
  let system: TestSystem;
  const closers: (() => void)[] = [];
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(async () => {
    for (const close of closers.splice(0)) close();
    await system.close();
  });

  // An endpoint would go on after the caller has given up.
  it("excludes the wait for a connection", {
    todo: "issue 40: see KNOWN-RED.txt",
  }, async () => {
    const endsMs: number[] = [];
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        const text = data.toString("latin1");
        const id = /^attempt-id: (\S+)/im.exec(text)?.[1];
        const leftMs = Number(/^deadline-ms: (\d+)/im.exec(text)?.[1]);
        endsMs.push(performance.now() + leftMs);
        const answer = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok`;
        const timer = setTimeout(() => socket.write(answer), RUN_MS);
        closers.push(() => clearTimeout(timer));
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    closers.push(() => server.close());
    const { port } = server.address() as AddressInfo;
    await system.startStore();
    const configuration = createConfiguration();
    for (const service of configuration.services) service.max_conns = 1;
    system.store.put("config", "main", configuration);
    system.store.put("servers", "i-1", createReplicaSpec(port));
    await system.startEntry();
    await system.waitFor(() => system.isReady);
    const sentAtMs = performance.now();
    const calls = ["a", "b", "c"].map((id) => system.call("/open/a", { id }));
    for (const { status } of await Promise.all(calls)) {
      assert.equal(status, 200);
    }
    const latestMs = Math.max(...endsMs) - sentAtMs;
    const maxMs = DEADLINE_MS + MAX_EXCESS_MS;
    assert.ok(latestMs <= maxMs, `${Math.round(latestMs)} ms after the call`);
  });
});
