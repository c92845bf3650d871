import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { OBJECT_KIND, StoreClient } from "./store_client.js";
import { StoreEra } from "./store_era.js";

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
});
