/** Bytes without end that a faulty replica sends until its caller closes. */

import type { Socket } from "node:net";

export const ENDLESS_BYTES = {
  smallChunks: "small-chunks",
  failedInSmallChunks: "failed-in-small-chunks",
  refusedInSmallChunks: "refused-in-small-chunks",
  largeBody: "large-body",
  eventInSmallChunks: "event-in-small-chunks",
  informationalHeads: "informational-heads",
  emptyLines: "empty-lines",
  header: "header",
  noAnswer: "no-answer",
} as const;
export type EndlessBytes = (typeof ENDLESS_BYTES)[keyof typeof ENDLESS_BYTES];

const BLOCK_BYTES = 65_536;

function createHead(
  requestId: string,
  options: { status?: string; lines?: readonly string[] } = {},
): string {
  const { status = "200 OK", lines = [] } = options;
  return [
    `HTTP/1.1 ${status}`,
    `Attempt-Id: ${requestId}`,
    "Server-Stamp: stamp",
    `Run-Id: ${requestId}`,
    ...lines,
    "\r\n",
  ].join("\r\n");
}

const CHUNKED = "Transfer-Encoding: chunked";
const EVENT_STREAM = "Content-Type: text/event-stream";

/** What comes first, and what comes after that again and again. */
const PARTS: Readonly<
  Record<EndlessBytes, { first: (id: string) => string; next: string }>
> = {
  [ENDLESS_BYTES.smallChunks]: {
    first: (id) => createHead(id, { lines: [CHUNKED] }),
    next: "1\r\nx\r\n",
  },
  [ENDLESS_BYTES.failedInSmallChunks]: {
    first: (id) => createHead(id, { status: "500 Failed", lines: [CHUNKED] }),
    next: "1\r\nx\r\n",
  },
  [ENDLESS_BYTES.refusedInSmallChunks]: {
    first: (id) =>
      createHead(id, {
        status: "503 Full",
        lines: [CHUNKED, "Not-Executed: 1"],
      }),
    next: "1\r\nx\r\n",
  },
  [ENDLESS_BYTES.largeBody]: {
    first: (id) => createHead(id, { lines: ["Connection: close"] }),
    next: "x",
  },
  [ENDLESS_BYTES.eventInSmallChunks]: {
    first: (id) =>
      `${createHead(id, { lines: [CHUNKED, EVENT_STREAM] })}6\r\ndata: \r\n`,
    next: "1\r\nx\r\n",
  },
  [ENDLESS_BYTES.informationalHeads]: {
    first: () => "",
    next: "HTTP/1.1 103 Early Hints\r\n\r\n",
  },
  [ENDLESS_BYTES.emptyLines]: { first: () => "", next: "\r\n" },
  [ENDLESS_BYTES.header]: {
    first: () => "HTTP/1.1 200 OK\r\nLong: ",
    next: "x",
  },
  [ENDLESS_BYTES.noAnswer]: { first: () => "", next: "no answer " },
};

export interface EndlessBytesOptions {
  readonly kind: EndlessBytes;
  readonly requestId: string;
  /** Pause between two blocks, which leaves time for others, ms. */
  readonly pauseMs?: number;
}

/** Writes until the other side closes. */
export function writeEndlessBytes(
  socket: Socket,
  { kind, requestId, pauseMs }: EndlessBytesOptions,
): void {
  const { first, next } = PARTS[kind];
  socket.write(first(requestId));
  const block = Buffer.from(next.repeat(BLOCK_BYTES / next.length));
  writeEndlessly(socket, block, pauseMs);
}

/** Writes a block again and again until the other side closes. */
export function writeEndlessly(
  socket: Socket,
  block: Buffer,
  pauseMs = 0,
): void {
  const writeBlocks = () => {
    while (!socket.destroyed && socket.writable && socket.write(block)) {
      if (pauseMs === 0) continue;
      setTimeout(writeBlocks, pauseMs);
      return;
    }
  };
  socket.on("drain", () => setTimeout(writeBlocks, pauseMs));
  writeBlocks();
}
