/** Set-up shared by the tests of the stand-ins and of the adapters. */

import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Result } from "neverthrow";
import { type StandinKind, startStandin } from "./standin_kinds.js";

/** Limit of every call of a test; far above the usual duration. */
export const TEST_TIMEOUT_MS = 5_000;

/** Limit of all tests of a file. */
export const SUITE_TIMEOUT_MS = 60_000;

/** Signal of calls that are not aborted. */
export const NEVER_ABORTED: AbortSignal = new AbortController().signal;

const POLL_INTERVAL_MS = 10;

/**
 * Below the ports of the soak tests and those that the kernel gives to outgoing
 * connections and to servers that ask for any port, so that a free one is still
 * free when it is used.
 */
const TEST_PORTS = { min: 12_000, max: 20_000 };
/** Each process has ports of its own, so that two tests never get the same. */
const PORTS_PER_PROCESS = 20;
let nextPort =
  TEST_PORTS.min +
  ((process.pid * PORTS_PER_PROCESS) % (TEST_PORTS.max - TEST_PORTS.min));

export interface TestStandin {
  readonly target: { address: string; port: number; timeoutMs: number };
  control(patch: object): Promise<void>;
  /** Reads what the stand-in has recorded. */
  readRecord<T>(): Promise<T>;
  close(): Promise<void>;
}

/** Starts a stand-in in this process; it closes after the test. */
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
    target: createLocalTarget(port),
    control,
    readRecord,
    close: server.close,
  };
}

export function createLocalTarget(port: number) {
  return { address: "127.0.0.1", port, timeoutMs: TEST_TIMEOUT_MS };
}

export interface RawServer {
  readonly port: number;
  close(): Promise<void>;
}

/** Passes each connection to the listener with the first data on it. */
export async function startRawServer(
  onRequest: (socket: Socket, data: Buffer) => void,
  port = 0,
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
    socket.on("error", () => {
      // The adapter under test may close the connection at any time.
    });
    socket.once("data", (data: Buffer) => onRequest(socket, data));
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", resolve);
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
  for (;;) {
    const port = nextPort++;
    const server = await startRawServer(() => {}, port).catch(() => undefined);
    if (server === undefined) continue;
    await server.close();
    return port;
  }
}

/** Polls until the condition is true; fails after TEST_TIMEOUT_MS. */
export async function waitUntil(isTrue: () => Promise<boolean>): Promise<void> {
  const deadlineMs = performance.now() + TEST_TIMEOUT_MS;
  while (!(await isTrue())) {
    if (performance.now() > deadlineMs)
      throw new Error(`Condition did not become true: ${isTrue}`);
    await sleep(POLL_INTERVAL_MS);
  }
}

export async function expectOk<T, E>(
  call: Result<T, E> | PromiseLike<Result<T, E>>,
): Promise<T> {
  return (await call)._unsafeUnwrap();
}

export async function expectErr<T, E>(
  call: Result<T, E> | PromiseLike<Result<T, E>>,
): Promise<E> {
  return (await call)._unsafeUnwrapErr();
}

export interface AnyFailure {
  readonly kind: string;
  /** Whether the call ran: "yes", "no" or "unknown". */
  readonly ran?: string;
}

/** Describes a failure by its kind and whether the call can have run. */
export function describeFailure({ kind, ran }: AnyFailure): string {
  return ran === undefined ? kind : `${kind} ${ran}`;
}

/** Expects a failure such as "timeout unknown", or "conflict" of the store. */
export async function expectFailure<T, E extends AnyFailure>(
  call: Result<T, E> | PromiseLike<Result<T, E>>,
  expected: string,
): Promise<void> {
  assert.equal(describeFailure(await expectErr(call)), expected);
}
