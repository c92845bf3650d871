/**
 * HTTP servers on the entry's own ports: metrics, readiness and other entries.
 * Their callers wait for each answer, so a connection on which requests come
 * sooner is closed, before their answers use up the memory.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Duplex } from "node:stream";
import {
  RECEIVED_REFUSAL,
  type ReceivedSource,
  receivedMemory,
} from "../adapters/received/index.js";
import {
  ConnectionLimit,
  ConnectionReads,
  getConnectionUse,
} from "./reading/index.js";

/** Time in which a request must have come, and its head, ms. */
const REQUEST_TIMEOUT_MS = 10_000;
const HEAD_TIMEOUT_MS = 3_000;
/** Interval of the check for these times, ms. */
const TIME_CHECK_INTERVAL_MS = 1_000;
/**
 * Time without activity after which a connection is closed, ms; longer than any
 * answer takes. One whose answer is not read holds its memory until then.
 */
const IDLE_TIMEOUT_MS = 15_000;

export interface OwnServerOptions {
  readonly source: ReceivedSource;
  readonly maxConnections: number;
}

export type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Creates a server that doesn't listen yet. */
export function createOwnServer(
  { source, maxConnections }: OwnServerOptions,
  answer: RequestListener,
): Server {
  const { pipelined, manyConnections } = RECEIVED_REFUSAL;
  const lastResponses = new WeakMap<Duplex, ServerResponse>();
  const server = createServer(
    {
      headersTimeout: HEAD_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIME_CHECK_INTERVAL_MS,
    },
    (request, response) => {
      const { socket } = request;
      if (socket.destroyed) return;
      const last = lastResponses.get(socket);
      if (last !== undefined && !last.writableFinished) {
        receivedMemory.report(source, pipelined);
        socket.destroy();
        return;
      }
      lastResponses.set(socket, response);
      connectionLimit.recordUse(socket);
      answer(request, response);
    },
  );
  server.setTimeout(IDLE_TIMEOUT_MS);
  const getNewestResponse = (socket: Duplex) => lastResponses.get(socket);
  const connectionLimit = new ConnectionLimit({
    maxConnections,
    getUse: (socket) => getConnectionUse(getNewestResponse(socket)),
    close: (socket) => {
      receivedMemory.report(source, manyConnections);
      socket.destroy();
    },
  });
  new ConnectionReads({
    now: () => performance.now(),
    getNewestResponse,
    mayBegin: () => true,
    onConnection: (socket) => connectionLimit.add(socket),
  }).attach(server);
  return server;
}
