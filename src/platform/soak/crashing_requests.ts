/**
 * Sends requests that end each replica which begins to run them. Each one comes
 * again for some time, with the same path, key and body and a new id.
 */

import { Agent } from "node:http";
import type { Random } from "../../soak/random.js";
import { delay } from "../../testbed/delay.js";
import { BODY_CRASH_TIME } from "../standins/body_crash.js";
import type { CallersOptions } from "./callers.js";
import type { Fleet } from "./fleet.js";
import { type CallRecord, ROUTE } from "./records.js";
import { createRecord, sendCall } from "./send_call.js";

/** Longest pause between two calls with one request, ms. */
const MAX_PAUSE_MS = 300;
/** Shortest and longest time for which a request comes again, ms. */
const DURATION_MS = { min: 7_000, max: 14_000 };
/** Longest pause between two such requests, ms. */
const MAX_GAP_MS = 1_000;

export interface CrashingRequestsOptions
  extends Pick<CallersOptions, "portsByEntry" | "listKeys"> {
  readonly random: Random;
  readonly untilMs: number;
  readonly crashingBodies: Fleet["crashingBodies"];
}

/** Resolves with all calls after the end time. */
export async function runCrashingRequests(
  options: CrashingRequestsOptions,
): Promise<CallRecord[]> {
  const { random, untilMs, crashingBodies } = options;
  const calls: CallRecord[] = [];
  for (let number = 0; performance.now() < untilMs; number++) {
    await delay(random.pickInteger(0, MAX_GAP_MS));
    const body = `ends ${number}`;
    const { min, max } = DURATION_MS;
    const endMs = performance.now() + random.pickInteger(min, max);
    crashingBodies.set(body, random.pick(Object.values(BODY_CRASH_TIME)));
    await sendRepeatedly(options, calls, {
      number,
      body,
      untilMs: Math.min(endMs, untilMs),
    });
  }
  return calls;
}

async function sendRepeatedly(
  { random, portsByEntry, listKeys }: CrashingRequestsOptions,
  calls: CallRecord[],
  request: {
    readonly number: number;
    readonly body: string;
    readonly untilMs: number;
  },
): Promise<void> {
  const { number, body, untilMs } = request;
  const route = random.pick(Object.values(ROUTE));
  // The newest key is the last one to be withdrawn.
  const key = listKeys().valid.at(-1) ?? "";
  for (;;) {
    await delay(random.pickInteger(0, MAX_PAUSE_MS));
    if (performance.now() >= untilMs || !listKeys().valid.includes(key)) return;
    const [entry, port] = random.pick([...portsByEntry]);
    const record = createRecord({
      id: `y${calls.length}`,
      route,
      entry,
      key,
      // Sound requests have it as well.
      secondPart: `m${number}`,
      ownPart: `own${number}`,
      requestBody: body,
    });
    calls.push(record);
    const agent = new Agent();
    await sendCall(record, agent, port);
    record.endedAtMs = performance.now();
    agent.destroy();
  }
}
