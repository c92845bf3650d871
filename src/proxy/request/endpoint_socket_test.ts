import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointSocket } from "./endpoint_socket.js";
import { ReadTurns } from "./read_turns.js";

describe("a connection to an endpoint", () => {
  // An endpoint that crashes after its answer resets the connection: what had
  // come and waited for its turn was lost.
  it("passes on what has come before the error that ends it", async () => {
    let nowMs = 0;
    const turns = new ReadTurns(() => {
      nowMs += 10;
      return nowMs;
    });
    const socket = new EndpointSocket({ turns, endpoint: {} });
    let receivedBytes = 0;
    socket.on("data", (data) => {
      receivedBytes += data.length;
    });
    socket.on("error", () => undefined);
    await new Promise((resolve) => setImmediate(resolve));
    socket.push(Buffer.alloc(60_000));
    assert.ok(receivedBytes < 60_000);
    const error = new Error("read ECONNRESET");
    socket.destroy(Object.assign(error, { syscall: "read" }));
    assert.equal(receivedBytes, 60_000);
  });
});
