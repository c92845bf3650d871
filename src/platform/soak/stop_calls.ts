/**
 * Callers that go on with an entry during its planned stop, on connections
 * which they opened before, until its process is gone.
 */

import { Agent } from "node:http";
import { connect } from "node:net";
import type { Random } from "../../soak/random.js";
import { delay } from "../../testbed/delay.js";
import type { Callers } from "./callers.js";
import { TIME_BOUNDS } from "./fleet.js";
import { ROUTE } from "./records.js";
import { formatWork } from "./request_body.js";

const CALLER_COUNT = 10;
/** Orders that may keep the entry's process until the grace ends. */
const LONG_ORDERS = { count: 2, minWorkMs: 1_500, maxWorkMs: 4_500 } as const;
/** Share of the stops with them; the others end early. */
const LONG_ORDER_SHARE = 0.6;
/** Works of other orders, ms. */
const WORKS_MS = [0, 300, 1_500];
const GRACE_MS = 1_000 * TIME_BOUNDS.graceSeconds;
/** Deadlines; the second one is past the grace, ms. */
const DEADLINES_MS = [1_500, 1.5 * GRACE_MS];
/** Longest pause between two calls of a caller, ms. */
const MAX_PAUSE_MS = 250;
/** Time from the first calls to the signal, ms. */
const HEAD_START_MS = 100;

export interface StopCallsOptions {
  readonly callers: Callers;
  readonly entry: string;
  /** Of the entry's link. */
  readonly port: number;
  readonly random: Random;
  /** Aborts when the process is gone. */
  readonly signal: AbortSignal;
}

/** Resolves when the stop may begin; \`done\` resolves with the last call. */
export async function startStopCalls(
  options: StopCallsOptions,
): Promise<{ readonly done: Promise<unknown> }> {
  const { random } = options;
  const { count } = LONG_ORDERS;
  const longOrders = random.chance(LONG_ORDER_SHARE) ? count : 0;
  const done = Promise.all([
    ...Array.from({ length: longOrders }, () => sendLongOrder(options)),
    ...Array.from({ length: CALLER_COUNT }, () => runCaller(options)),
  ]);
  await delay(HEAD_START_MS);
  return { done };
}

async function sendLongOrder(options: StopCallsOptions): Promise<void> {
  const { callers, entry, random } = options;
  const agent = new Agent();
  const { minWorkMs, maxWorkMs } = LONG_ORDERS;
  const workMs = random.pickInteger(minWorkMs, maxWorkMs);
  await callers.callOnce(entry, agent, {
    random,
    route: ROUTE.once,
    deadlineMs: DEADLINES_MS.at(-1),
    requestBody: formatWork(workMs),
  });
  agent.destroy();
}

/** Opens its connection at once and uses it at some time in the grace. */
async function runCaller(options: StopCallsOptions): Promise<void> {
  const { callers, entry, random, signal } = options;
  const { agent, socket } = createOpenAgent(options);
  await delay(random.pickInteger(0, GRACE_MS));
  while (!signal.aborted) {
    const route = random.pick(Object.values(ROUTE));
    const workMs = route === ROUTE.once ? random.pick(WORKS_MS) : 0;
    await callers.callOnce(entry, agent, {
      random,
      route,
      deadlineMs: random.pick(DEADLINES_MS),
      requestBody: formatWork(workMs),
    });
    await delay(random.pickInteger(0, MAX_PAUSE_MS));
  }
  agent.destroy();
  socket.destroy();
}

/** Its first connection is open before its first call. */
function createOpenAgent({ port }: StopCallsOptions) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const socket = connect({ port, host: "127.0.0.1", noDelay: true });
  socket.on("error", () => undefined);
  let isTaken = false;
  const open = agent.createConnection.bind(agent);
  agent.createConnection = (options, onOpen) => {
    if (isTaken || socket.destroyed) return open(options, onOpen);
    isTaken = true;
    return socket;
  };
  return { agent, socket };
}
