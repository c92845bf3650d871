/** Request and response messages between entries, over HTTP. */

import {
  type Agent,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import { err, ok, type Result } from "neverthrow";
import { hasLength } from "../../adapters/answer_end.js";
import { openRequestMemory, readBody } from "../../adapters/http_server.js";
import {
  HeldMemory,
  MAX_MESSAGE_BYTES,
  MAX_PEER_CONNECTIONS,
  ReceivedBody,
  SENDER,
} from "../../adapters/received/index.js";
import { createOwnServer, type OwnServerOptions } from "../own_server.js";
import { type ListenOptions, startListening } from "../start_listening.js";
import type { NetworkAddress } from "../types.js";

/**
 * Most time that a message is in transit. Reports count as older by it: without
 * that, entries would make old knowledge newer with each message.
 */
export const MAX_TRANSIT_MS = 1_000;

/** Largest number in an integer field of a message. */
const MAX_MESSAGE_NUMBER = 2 ** 32 - 1;

/**
 * The nearest number that fits in an integer field. A message with any other
 * number can't be encoded; 2^32 ms are 49.7 days.
 */
export function toMessageNumber(value: number): number {
  return Math.min(MAX_MESSAGE_NUMBER, Math.max(0, Math.round(value)));
}

export interface OutgoingMessage {
  readonly agent: Agent;
  readonly target: NetworkAddress;
  readonly path: string;
  readonly data: Uint8Array;
  /** Longest time until the whole answer. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Resolves to the body of the answer, or to the reason why there is none. */
export function sendMessage(
  message: OutgoingMessage,
): Promise<Result<Uint8Array, string>> {
  const { agent, target, path, data, timeoutMs, signal } = message;
  return new Promise((resolve) => {
    const clientRequest = request({
      host: target.address,
      port: target.port,
      method: "POST",
      path,
      agent,
      headers: { "content-length": data.length },
      signal,
    });
    const timer = setTimeout(
      () =>
        clientRequest.destroy(new Error(`no answer within ${timeoutMs} ms`)),
      timeoutMs,
    );
    const memory = new HeldMemory();
    // Whoever waits for the answer decodes it at once.
    const settle = (result: Result<Uint8Array, string>) => {
      clearTimeout(timer);
      memory.release();
      resolve(result);
    };
    clientRequest.on("error", (error) => settle(err(error.message)));
    // Status 101 comes as this event; without a listener, none tells the end.
    clientRequest.once("upgrade", ({ statusCode }, socket) => {
      socket.destroy();
      settle(err(`answer has status ${statusCode}`));
    });
    clientRequest.once("response", (response) => {
      const body = new ReceivedBody({
        sender: SENDER.peer,
        maxBytes: MAX_MESSAGE_BYTES,
        memory,
      });
      response.on("data", (chunk: Buffer) => {
        if (response.destroyed) return;
        const refusal = body.add(chunk);
        if (refusal === undefined) return;
        response.destroy(new Error(`answer is refused: ${refusal}`));
      });
      response.once("error", (error) => settle(err(error.message)));
      response.once("end", () => {
        const { statusCode } = response;
        if (statusCode !== 200) settle(err(`answer has status ${statusCode}`));
        // A part of a message may decode as a shorter one. Entries send lengths.
        else if (!hasLength(response)) settle(err("answer has no length"));
        else settle(ok(body.data));
      });
    });
    clientRequest.end(data);
  });
}

const PEER_OPTIONS: OwnServerOptions = {
  source: SENDER.peer,
  maxConnections: MAX_PEER_CONNECTIONS,
};

/** Creates the body of the answer to one message. */
export type MessageHandler = (
  data: Uint8Array,
) => Uint8Array | Promise<Uint8Array>;

/** Serves messages of other entries; `handlers` has a handler for each path. */
export function startPeerServer(
  handlers: ReadonlyMap<string, MessageHandler>,
  listenAddress: NetworkAddress,
  options?: ListenOptions,
): Promise<Server> {
  const server = createOwnServer(PEER_OPTIONS, (incoming, response) => {
    answerMessage(handlers, incoming, response).catch((error: unknown) => {
      options?.log.error("peer-answer-failed", { error: String(error) });
      response.destroy();
    });
  });
  return startListening(server, listenAddress, options);
}

async function answerMessage(
  handlers: ReadonlyMap<string, MessageHandler>,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const handler = handlers.get(incoming.url ?? "");
  const memory = openRequestMemory(response);
  // The read fails when the sender closes the connection.
  const body = await readBody(incoming, MAX_MESSAGE_BYTES, memory, {
    sender: SENDER.peer,
  }).catch(() => {});
  if (!Buffer.isBuffer(body)) {
    incoming.destroy();
    return;
  }
  if (handler === undefined) {
    response.writeHead(404, { "Content-Length": 0 }).end();
    return;
  }
  const data = await handler(body);
  response.writeHead(200, { "Content-Length": data.length });
  response.end(data);
}
