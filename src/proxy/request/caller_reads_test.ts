import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pauseReading, startReading } from "../../adapters/http_server.js";
import { CallerReads } from "./caller_reads.js";
import { READ_BYTES } from "./small_reads.js";

const PATHS = Array.from({ length: 1_000 }, (_, i) => `/${i}`);
const PIPELINE = PATHS.map((path) => `GET ${path} HTTP/1.1\r\n\r\n`).join("");

describe("reads of a caller's connection", () => {
  let server: Server;
  let caller: Socket;
  let reads: CallerReads;
  let connection: Socket | undefined;
  let onRequest: (socket: Socket) => void = () => undefined;
  const read: string[] = [];
  beforeEach(async () => {
    read.length = 0;
    reads = new CallerReads(() => performance.now());
    server = createServer({ requireHostHeader: false }, (request, response) => {
      read.push(request.url ?? "");
      onRequest(request.socket);
      response.end();
    });
    server.on("connection", (socket) => {
      connection = socket;
    });
    reads.attach(server);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    caller = connect(port, "127.0.0.1").on("error", () => undefined);
    caller.resume();
  });
  afterEach(() => {
    caller.destroy();
    server.close();
  });

  const waitUntil = async (isDone: () => boolean) => {
    while (!isDone()) await new Promise((resolve) => setTimeout(resolve, 5));
  };

  it("bring all requests in their order", async () => {
    caller.write(PIPELINE);
    await waitUntil(() => read.length === PATHS.length);
    assert.deepEqual(read, PATHS);
  });

  // A pause took effect only after all that one read of the socket brought.
  it("end soon after a pause and go on after it", async () => {
    onRequest = (socket) => {
      if (read.length === 1) pauseReading(socket);
    };
    caller.write(PIPELINE);
    await waitUntil(() => read.length > 0);
    for (let i = 0; i < 10; i++) await new Promise(setImmediate);
    assert.ok(read.length < 300, `${read.length}`);
    if (connection) startReading(connection);
    await waitUntil(() => read.length === PATHS.length);
    assert.deepEqual(read, PATHS);
  });

  // What one read brought, 64 kB, was held for each connection that waited.
  it("hold little while the connection is paused", async () => {
    onRequest = (socket) => {
      if (read.length === 1) pauseReading(socket);
    };
    caller.write(PIPELINE);
    caller.write(Buffer.alloc(10 * READ_BYTES));
    await waitUntil(() => read.length > 0);
    for (let i = 0; i < 50; i++) await new Promise(setImmediate);
    assert.ok(connection);
    assert.ok(connection.bytesRead <= 3 * READ_BYTES);
  });

  // Requests behind the last response were parsed, and used up the heap.
  it("drop what follows once they are told, and notice the end", async () => {
    let isClosed = false;
    onRequest = (socket) => {
      reads.discardRest(socket);
      if (read.length > 1) return;
      socket.once("end", () => {
        isClosed = true;
      });
    };
    caller.end(PIPELINE);
    await waitUntil(() => isClosed);
    assert.ok(read.length < 300, `${read.length}`);
  });
});
