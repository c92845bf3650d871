import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { KIND, StoreClient } from "./store_client.js";

describe("client of the store", () => {
  // An answer without end would fill the memory of a small host.
  it("gives up on an answer that is too large", {
    timeout: 5_000,
  }, async () => {
    const closed: Promise<void>[] = [];
    const chunk = "x".repeat(65_536);
    const server = createServer((socket: Socket) => {
      closed.push(new Promise((resolve) => socket.once("close", resolve)));
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
    const results: string[] = [];
    const client = new StoreClient({
      address: "127.0.0.1",
      port: address.port,
      onCall: (_kind, result) => results.push(result),
      signal: new AbortController().signal,
    });
    const list = await client.list(KIND.configuration, undefined);
    assert.ok(list.isErr());
    assert.equal(list.error.kind, "too-large");
    await Promise.all(closed);
    assert.deepEqual(results, ["too-large"]);
    server.close();
  });
});
