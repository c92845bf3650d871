/** Set-up that the tests of the stand-ins and of the adapters share. */

import { createServer, type Socket } from "node:net";
import type { TestContext } from "node:test";
import { type StandinKind, startStandin } from "./kinds.js";

/** Bounds every call of a test; far above what a call takes. */
export const TEST_TIMEOUT_MS = 5_000;

/** For calls that nothing aborts. */
export const NEVER: AbortSignal = new AbortController().signal;

export interface TestStandin {
  readonly target: { address: string; port: number; timeoutMs: number };
  control(patch: object): Promise<void>;
  /** The stand-in's own record. */
  readRecord<T>(): Promise<T>;
  close(): Promise<void>;
}

/** Starts a stand-in in this process; it ends with the test. */
export async function startTestStandin(
  context: TestContext,
  kind: StandinKind,
  options: object = {},
): Promise<TestStandin> {
  const server = await startStandin(kind, { port: 0, seed: 7, options });
  context.after(() => server.close());
  const { port } = server;
  const url = `http://127.0.0.1:${port}`;
  const control = async (patch: object) => {
    const body = JSON.stringify(patch);
    const reply = await fetch(`${url}/control`, { method: "POST", body });
    if (!reply.ok) throw new Error(`Control failed with ${reply.status}`);
  };
  const readRecord = async <T>() =>
    (await (await fetch(`${url}/record`)).json()) as T;
  return {
    target: createTarget(port),
    control,
    readRecord,
    close: server.close,
  };
}

export function createTarget(port: number) {
  return { address: "127.0.0.1", port, timeoutMs: TEST_TIMEOUT_MS };
}

export interface RawServer {
  readonly port: number;
  close(): Promise<void>;
}

/** Gives each connection that has sent a request to the listener. */
export async function startRawServer(
  onRequest: (socket: Socket) => void,
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
    socket.on("error", () => {
      // The adapter under test may close the connection at any time.
    });
    socket.once("data", () => onRequest(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const address = server.address();
  return {
    port: typeof address === "object" && address !== null ? address.port : 0,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}

/** A port on which nothing listens. */
export async function findClosedPort(): Promise<number> {
  const server = await startRawServer(() => {});
  await server.close();
  return server.port;
}
