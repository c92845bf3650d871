import assert from "node:assert/strict";
import { type IncomingMessage, request } from "node:http";
import { createServer, type Socket } from "node:net";

const HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/** Answer of an endpoint that sends a stream's head and then calls `write`. */
export async function requestStream(
  write: (socket: Socket) => void,
  cleanups: (() => void)[],
): Promise<IncomingMessage> {
  const server = createServer((socket) => {
    cleanups.push(() => socket.destroy());
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(HEAD);
      write(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  cleanups.push(() => server.close());
  const address = server.address();
  assert.ok(address !== null && typeof address === "object");
  const outgoing = request({ host: "127.0.0.1", port: address.port });
  cleanups.push(() => outgoing.destroy());
  outgoing.on("error", () => undefined);
  outgoing.end();
  return await new Promise((resolve) => outgoing.once("response", resolve));
}
