/** Messages between entries: one question, one answer, over HTTP. */

import { type Agent, createServer, request, type Server } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { startListening } from "./proxy_server.js";

/** Largest message of another entry, bytes. */
const MAX_MESSAGE_BYTES = 8_388_608;

export interface PeerAddress {
  readonly address: string;
  readonly port: number;
}

export interface OutgoingMessage {
  readonly agent: Agent;
  readonly target: PeerAddress;
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
  place: PeerAddress,
): Promise<Server> {
  const server = createServer((incoming, response) => {
    const handler = handlers.get(incoming.url ?? "");
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_MESSAGE_BYTES) incoming.destroy();
      else chunks.push(chunk);
    });
    incoming.once("end", () => {
      if (handler === undefined) {
        response.writeHead(404, { "Content-Length": 0 }).end();
        return;
      }
      void Promise.resolve(handler(Buffer.concat(chunks))).then((data) => {
        response.writeHead(200, { "Content-Length": data.length });
        response.end(data);
      });
    });
  });
  return startListening(server, place);
}
