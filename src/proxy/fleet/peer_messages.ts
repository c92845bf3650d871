/** Messages between entries: one question, one answer, over HTTP. */

import {
  type Agent,
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import { err, ok, type Result } from "neverthrow";
import { readBody } from "../../adapters/http.js";
import { startListening } from "../listening.js";
import type { NetworkAddress } from "../types.js";

/** Largest message of another entry, bytes. */
const MAX_MESSAGE_BYTES = 8_388_608;

export interface OutgoingMessage {
  readonly agent: Agent;
  readonly target: NetworkAddress;
  readonly path: string;
  readonly data: Uint8Array;
  /** Time for the whole answer, ms. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** The answer, or why there is none. */
export function sendMessage(
  message: OutgoingMessage,
): Promise<Result<Uint8Array, string>> {
  const { agent, target, path, data, timeoutMs, signal } = message;
  return new Promise((resolve) => {
    const outgoing = request({
      host: target.address,
      port: target.port,
      method: "POST",
      path,
      agent,
      headers: { "content-length": data.length },
      signal,
    });
    const timer = setTimeout(
      () => outgoing.destroy(new Error(`No answer in ${timeoutMs} ms`)),
      timeoutMs,
    );
    const settle = (result: Result<Uint8Array, string>) => {
      clearTimeout(timer);
      resolve(result);
    };
    outgoing.once("error", (error) => settle(err(error.message)));
    outgoing.once("response", (response) => {
      const chunks: Buffer[] = [];
      let size = 0;
      response.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size > MAX_MESSAGE_BYTES) response.destroy(new Error("Too large"));
        else chunks.push(chunk);
      });
      response.once("error", (error) => settle(err(error.message)));
      response.once("end", () => {
        const { statusCode } = response;
        settle(
          statusCode === 200
            ? ok(Buffer.concat(chunks))
            : err(`Status ${statusCode}`),
        );
      });
    });
    outgoing.end(data);
  });
}

/** Answers one message. */
export type MessageHandler = (
  data: Uint8Array,
) => Uint8Array | Promise<Uint8Array>;

/** Answers the messages of other entries by their path. */
export function startPeerServer(
  handlers: ReadonlyMap<string, MessageHandler>,
  place: NetworkAddress,
): Promise<Server> {
  const server = createServer((incoming, response) => {
    void answerMessage(handlers, incoming, response);
  });
  return startListening(server, place);
}

async function answerMessage(
  handlers: ReadonlyMap<string, MessageHandler>,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const handler = handlers.get(incoming.url ?? "");
  // Nobody is left to answer when the sender goes away.
  const body = await readBody(incoming, MAX_MESSAGE_BYTES).catch(() => {});
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
