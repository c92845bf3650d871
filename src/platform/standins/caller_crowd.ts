/** Ways in which callers that nobody controls use a connection. */

import type { Socket } from "node:net";
import { writeEndlessly } from "./endless_bytes.js";

const LARGE_CHUNK_BYTES = 32_768;
const SMALL_CHUNKS = 96_000;
const BODY_BYTES = 60_000;
const HEAD_BYTES = 60_000;
const CHUNKED = "Transfer-Encoding: chunked";
const EMPTY_BODY = "Content-Length: 0";
const REQUESTS_AHEAD = 500;

function createChunk(bytes: number): Buffer {
  return Buffer.concat([
    Buffer.from(`${bytes.toString(16)}\r\n`),
    Buffer.alloc(bytes, "x"),
    Buffer.from("\r\n"),
  ]);
}

const largeChunk = createChunk(LARGE_CHUNK_BYTES);

export interface CrowdOptions {
  /** The largest body that the configuration allows, bytes. */
  readonly maxBodyBytes: number;
  /** The head of a request that may be answered; `line` tells its body. */
  readonly createHead: (id: string, line: string) => string;
}

type Send = (socket: Socket, id: string, options: CrowdOptions) => void;

/** What each caller sends; those who are paused read no answers. */
export const CALLER_WAYS = {
  "bodies in large chunks that stop short": (socket, id, options) => {
    const { createHead, maxBodyBytes } = options;
    socket.write(createHead(id, CHUNKED));
    const chunks = Math.floor(maxBodyBytes / LARGE_CHUNK_BYTES);
    for (let i = 0; i < chunks; i++) socket.write(largeChunk);
  },
  "bodies in one-byte chunks that stop short": (socket, id, options) => {
    const { createHead, maxBodyBytes } = options;
    const chunks = Math.min(SMALL_CHUNKS, maxBodyBytes - 1);
    socket.write(createHead(id, CHUNKED));
    socket.write("1\r\nx\r\n".repeat(chunks));
  },
  "bodies that announce to be far too large": (socket, id, { createHead }) => {
    socket.write(createHead(id, "Content-Length: 100000000000"));
    writeEndlessly(socket, largeChunk);
  },
  "bodies without end": (socket, id, { createHead }) => {
    socket.write(createHead(id, CHUNKED));
    writeEndlessly(socket, largeChunk);
  },
  "requests without headers, ahead and unread": (socket) => {
    socket.pause();
    const request = "GET / HTTP/1.1\r\n\r\n";
    writeEndlessly(socket, Buffer.from(request.repeat(4 * REQUESTS_AHEAD)));
  },
  "requests ahead and unread": (socket, id, { createHead }) => {
    socket.pause();
    const head = createHead(id, EMPTY_BODY);
    writeEndlessly(socket, Buffer.from(head.repeat(REQUESTS_AHEAD)));
  },
  "requests with bodies, ahead and unread": (socket, id, options) => {
    socket.pause();
    const bytes = Math.min(BODY_BYTES, options.maxBodyBytes);
    const head = options.createHead(id, `Content-Length: ${bytes}`);
    const body = Buffer.alloc(bytes);
    writeEndlessly(socket, Buffer.concat([Buffer.from(head), body]));
  },
  "chunked bodies ahead, the last one short and half closed": (
    socket,
    id,
    { createHead },
  ) => {
    socket.pause();
    for (let i = 0; i < 20; i++) {
      if (i > 0) socket.write("0\r\n\r\n");
      socket.write(createHead(`${id}-${i}`, CHUNKED));
      socket.write(largeChunk);
    }
    socket.end();
  },
  "heads that stop short": (socket) => {
    const filler = "x".repeat(HEAD_BYTES);
    socket.write(`POST /once/a HTTP/1.1\r\nX-Filler: ${filler}`);
  },
} as const satisfies Readonly<Record<string, Send>>;

export type CallerWay = keyof typeof CALLER_WAYS;
