import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pauseReading, startReading } from "../../adapters/http_server.js";
import { ConnectionReads } from "./connection_reads.js";
import { READ_BYTES } from "./small_reads.js";

const PATHS = Array.from({ length: 1_000 }, (_, i) => `/${i}`);
const PIPELINE = PATHS.map((path) => `GET ${path} HTTP/1.1\r\n\r\n`).join("");

describe("reads of a caller's connection", () => {
  let server: Server;
  let caller: Socket;
  let reads: ConnectionReads;
  let connection: Socket | undefined;
  let onRequest: (socket: Socket) => void;
  let mayBegin: () => boolean;
  let answer: (response: ServerResponse) => void;
  const read: string[] = [];
  beforeEach(async () => {
    read.length = 0;
    onRequest = () => undefined;
    mayBegin = () => true;
    answer = (response) => response.end();
    const newestResponses = new WeakMap<Duplex, ServerResponse>();
    reads = new ConnectionReads({
      now: () => performance.now(),
      getNewestResponse: (socket) => newestResponses.get(socket),
      mayBegin: () => mayBegin(),
    });
    server = createServer({ requireHostHeader: false }, (request, response) => {
      newestResponses.set(request.socket, response);
      read.push(request.url ?? "");
      request.resume();
      onRequest(request.socket);
      answer(response);
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

  const waitForTurns = async () => {
    for (let i = 0; i < 50; i++) await new Promise(setImmediate);
  };

  it("bring all requests in their order", async () => {
    caller.write(PIPELINE);
    await waitUntil(() => read.length === PATHS.length);
    assert.deepEqual(read, PATHS);
  });

  // A pause took effect only after all that one read of the socket brought.
  it("end at once after a pause and go on after it", async () => {
    onRequest = (socket) => {
      if (read.length === 1) pauseReading(socket);
    };
    caller.write(PIPELINE);
    await waitUntil(() => read.length > 0);
    await waitForTurns();
    assert.equal(read.length, 1);
    if (connection) startReading(connection);
    await waitUntil(() => read.length === PATHS.length);
    assert.deepEqual(read, PATHS);
  });

  // Requests behind the last response were parsed, and used up the heap.
  it("drop what follows once they are told, and notice the end", async () => {
    let isClosed = false;
    onRequest = (socket) => {
      reads.discardRest(socket);
      socket.once("end", () => {
        isClosed = true;
      });
    };
    caller.end(PIPELINE);
    await waitUntil(() => isClosed);
    assert.equal(read.length, 1);
  });

  it("bring no request that may not begin, and go on when it may", async () => {
    mayBegin = () => read.length < 5;
    caller.write(PIPELINE);
    await waitUntil(() => read.length === 5);
    await waitForTurns();
    assert.equal(read.length, 5);
    mayBegin = () => true;
    if (connection) reads.goOn(connection);
    await waitUntil(() => read.length === PATHS.length);
    assert.deepEqual(read, PATHS);
  });

  // What one read brought, 64 kB, was held for each connection that waited.
  it("hold little of what is sent ahead", async () => {
    mayBegin = () => read.length === 0;
    caller.write(PIPELINE);
    caller.write(Buffer.alloc(10 * READ_BYTES));
    await waitUntil(() => read.length > 0);
    await waitForTurns();
    assert.ok(connection);
    assert.ok(connection.bytesRead <= 3 * READ_BYTES);
  });

  // Runs for a caller who had left went on until all before them had ended.
  it("notice that the caller leaves while requests wait", async () => {
    mayBegin = () => read.length === 0;
    answer = () => undefined;
    let hasLeft = false;
    onRequest = (socket) => {
      socket.once("end", () => {
        hasLeft = true;
      });
    };
    caller.end(PIPELINE.slice(0, 1_000));
    await waitUntil(() => hasLeft);
    assert.equal(read.length, 1);
  });

  const BODIES = {
    "with a length": "Content-Length: 9000\r\n\r\n".concat("x".repeat(9_000)),
    "in chunks": "Transfer-Encoding: chunked\r\n\r\n"
      .concat("5\r\n\r\n\r\nx\r\n".repeat(900))
      .concat("0\r\n\r\n"),
  };
  for (const [name, body] of Object.entries(BODIES)) {
    it(`tell bodies ${name} from the next request`, async () => {
      mayBegin = () => read.length === 0;
      caller.write(`POST /body HTTP/1.1\r\n${body}${PIPELINE}`);
      await waitUntil(() => read.length > 0);
      await waitForTurns();
      assert.deepEqual(read, ["/body"]);
      mayBegin = () => true;
      if (connection) reads.goOn(connection);
      await waitUntil(() => read.length > PATHS.length);
      assert.deepEqual(read, ["/body", ...PATHS]);
    });
  }
});
