import assert from "node:assert/strict";
import { once } from "node:events";
import { Agent, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { closeHttpServer } from "./close_http_server.js";

async function startServer(answerMs: number) {
  const server = createServer((_request, response) => {
    setTimeout(() => response.end("whole"), answerMs);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return { server, port: (server.address() as AddressInfo).port };
}

async function call(port: number, agent: Agent): Promise<string> {
  const sent = request({ host: "127.0.0.1", port, agent });
  sent.end();
  const [response] = await once(sent, "response");
  let text = "";
  for await (const chunk of response) text += chunk;
  return text;
}

describe("closing an HTTP server", () => {
  it("waits for the response to a running request, but not for its idle connection", async (t) => {
    const agent = new Agent({ keepAlive: true });
    t.after(() => agent.destroy());
    const { server, port } = await startServer(300);
    const answer = call(port, agent);
    await sleep(50);
    const startMs = performance.now();
    await closeHttpServer(server, AbortSignal.timeout(4_000));
    assert.ok(performance.now() - startMs < 3_000);
    assert.equal(server.listening, false);
    assert.equal(await answer, "whole");
  });

  // A stopping entry reset 45 connections that were made during a pause.
  it("answers a client whose connection was not yet accepted", async () => {
    const { server, port } = await startServer(10);
    const answer = call(port, new Agent()).catch((error) => String(error));
    // The connection is made, but the event loop has not accepted it yet.
    await new Promise<void>((resolve) => process.nextTick(resolve));
    await closeHttpServer(server, AbortSignal.timeout(4_000));
    assert.equal(await answer, "whole");
  });

  it("gives up when the signal aborts", async (t) => {
    const agent = new Agent();
    const { server, port } = await startServer(60_000);
    t.after(() => server.closeAllConnections());
    const answer = call(port, agent).catch(() => "cut");
    await sleep(50);
    await closeHttpServer(server, AbortSignal.timeout(100));
    server.closeAllConnections();
    assert.equal(await answer, "cut");
  });
});
