/** A caller server with a scripted runner, for tests. */

import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import type { TestContext } from "node:test";
import { applyTicket, createEmptyState, type Refusal } from "../core/index.js";
import { End, type FleetState } from "../schema/index.js";
import { createSetupTicket, YUSHAN } from "../testbed/workloads.js";
import {
  type CallerServerOptions,
  createCallerServer,
} from "./caller_server.js";

export const KEY_HEADERS = { authorization: "Bearer key-of-installers" };
export const MAX_BODY_BYTES = 10_000;
export const CHAT_BODY = { messages: [{ role: "user", content: "why" }] };

/** Yushan's configuration; large-1 is withdrawn, farms may use one version. */
export function createTestState(): FleetState {
  const ticket = createSetupTicket(1, [YUSHAN], ["dc1"]);
  for (const version of ticket.versions ?? []) {
    if (version.name === "large-1") version.state = "withdrawn";
  }
  for (const account of ticket.accounts ?? []) {
    if (account.name !== "farms") continue;
    account.versions = ["small-1"];
    account.services = ["stock_check"];
    account.classes = ["part_match"];
  }
  const outcome = applyTicket(createEmptyState(), ticket, "")._unsafeUnwrap();
  return outcome.kind === "applied" ? outcome.state : createEmptyState();
}

type Run = CallerServerOptions["runner"]["run"];

/** Answers at once: a model with two chunks of text, a service with a body. */
export const answerAll: Run = async (route, { writer, payload }) => {
  const version = route.candidates[0] ?? "";
  const info = { requestId: route.id, version, revision: 1 };
  const chunks = [Buffer.from("hel"), Buffer.from("lo")];
  const body = Buffer.from(`${payload.method} ${payload.path}`);
  writer.finish(
    info,
    End.fromPartial({ status: 200, chunks: 2, body }),
    chunks,
  );
};

export interface TestServerOptions {
  readonly run?: Run;
  readonly refusal?: Refusal;
  /** Refusal of an entry whose configuration is not confirmed. */
  readonly staleRefusal?: Refusal;
  readonly state?: FleetState;
}

export async function startCallerServer(
  t: TestContext,
  options: TestServerOptions = {},
) {
  const { run = answerAll, refusal, staleRefusal } = options;
  const loggedEvents: string[] = [];
  const write = (event: string) => void loggedEvents.push(event);
  const server = createCallerServer({
    config: {
      state: options.state ?? createTestState(),
      checkFreshness: () => staleRefusal,
      fetchRevision: async () => {},
      addListener: () => {},
    },
    runner: { run },
    log: { debug: write, info: write, warn: write, error: write },
    now: () => performance.now(),
    bodyBytes: MAX_BODY_BYTES,
    headerBytes: 4_096,
    checkAdmission: () => refusal,
    resolveSession: async () => ({}),
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const call = (path: string, init: RequestInit = {}) =>
    fetch(`http://127.0.0.1:${port}${path}`, {
      ...init,
      headers: { ...KEY_HEADERS, ...init.headers },
      signal: AbortSignal.timeout(5_000),
    });
  const chat = (body: unknown, headers: Record<string, string> = {}) =>
    call("/v1/chat/completions", {
      method: "POST",
      body: typeof body === "string" ? body : JSON.stringify(body),
      headers,
    });
  return { port, call, chat, loggedEvents };
}

/** Sends raw HTTP; returns what comes back until the connection closes. */
export async function sendRaw(
  port: number,
  ...parts: string[]
): Promise<string> {
  const socket = connect(port, "127.0.0.1");
  let text = "";
  socket.on("data", (data) => {
    text += data;
  });
  socket.on("error", () => {
    // A refused sender may see a connection reset; only the answer is tested.
  });
  for (const part of parts) socket.write(part);
  socket.setTimeout(1_500, () => socket.destroy());
  if (!socket.destroyed) await once(socket, "close");
  return text;
}
