/** Callers that keep connections open, each to one entry at a time. */

import { Agent } from "node:http";
import type { Random } from "../../soak/random.js";
import { delay } from "../../testbed/delay.js";
import {
  type CallRecord,
  CRASHING_PART,
  ROUTE,
  type RouteName,
} from "./records.js";
import { createRecord, sendCall } from "./send_call.js";

/** Longest pause of a caller between two requests, ms. */
const MAX_PAUSE_MS = 120;
/** Share of requests with a key that was withdrawn. */
const WITHDRAWN_KEY_SHARE = 0.1;
/** How many second parts of prompts there are. */
const SECOND_PART_COUNT = 12;
/** Mean pause between two calls with the part that ends replicas, ms. */
const CRASHING_CALL_PAUSE_MS = 500;
/** Orders of one burst, more than all replicas take while they have few slots. */
const BURST_SIZE = 24;
/** Share of calls after which a caller moves to another entry. */
const ENTRY_CHANGE_SHARE = 0.03;

/** Callers whose deadline is far beyond any silence, and that deadline, ms. */
const PATIENT_CALLERS = { count: 4, deadlineMs: 5_000 } as const;

export interface CallersOptions {
  readonly callerCount: number;
  /** Ports of the entries' links, by name. */
  readonly portsByEntry: ReadonlyMap<string, number>;
  readonly random: Random;
  /** Apart from `random`, so that seeds keep their other calls. */
  readonly crashingRandom: Random;
  readonly burstRandom: Random;
  readonly patientRandom: Random;
  readonly listKeys: () => {
    readonly valid: readonly string[];
    readonly withdrawn: readonly string[];
  };
  /** True while the entry's port has not accepted the caller's connection. */
  readonly isUnaccepted: (entry: string, localPort: number) => boolean;
  readonly signal: AbortSignal;
}

export interface CallOptions {
  readonly route?: RouteName;
  readonly random?: Random;
  readonly deadlineMs?: number;
  readonly requestBody?: string;
}

export class Callers {
  /** Those of `calls` that came in a burst, which replicas may refuse. */
  readonly burstCalls = new Set<CallRecord>();
  readonly calls: CallRecord[] = [];
  /** Calls with the part that ends replicas. */
  readonly crashingCalls: CallRecord[] = [];
  readonly #options: CallersOptions;
  #callCount = 0;

  constructor(options: CallersOptions) {
    this.#options = options;
  }

  async run(): Promise<void> {
    const { callerCount, random, patientRandom } = this.#options;
    const { count, deadlineMs } = PATIENT_CALLERS;
    await Promise.all([
      ...Array.from({ length: callerCount }, () => this.#runCaller(random)),
      ...Array.from({ length: count }, () =>
        this.#runCaller(patientRandom, deadlineMs),
      ),
    ]);
  }

  /** Calls with the part that ends replicas; they start before `untilMs`. */
  async runCrashingCalls(untilMs: number): Promise<void> {
    const { portsByEntry, crashingRandom, listKeys } = this.#options;
    for (;;) {
      await delay(crashingRandom.pickInteger(0, 2 * CRASHING_CALL_PAUSE_MS));
      if (performance.now() >= untilMs) return;
      const [entry, port] = crashingRandom.pick([...portsByEntry]);
      const record = createRecord({
        id: `x${this.crashingCalls.length}`,
        route: ROUTE.stream,
        entry,
        key: crashingRandom.pick(listKeys().valid),
        secondPart: CRASHING_PART,
      });
      this.crashingCalls.push(record);
      const agent = new Agent();
      await sendCall(record, agent, port);
      agent.destroy();
    }
  }

  /** Sends orders at once, each on its own connection. */
  async sendBurst(): Promise<void> {
    const { portsByEntry, burstRandom } = this.#options;
    const names = [...portsByEntry.keys()];
    const sendOrder = async () => {
      const agent = new Agent();
      const entry = burstRandom.pick(names);
      const call = await this.callOnce(entry, agent, {
        route: ROUTE.once,
        random: burstRandom,
      });
      this.burstCalls.add(call);
      agent.destroy();
    };
    await Promise.all(Array.from({ length: BURST_SIZE }, sendOrder));
  }

  async #runCaller(random: Random, deadlineMs?: number): Promise<void> {
    const { portsByEntry, signal } = this.#options;
    const names = [...portsByEntry.keys()];
    let entry = random.pick(names);
    let agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!signal.aborted) {
      const call = await this.callOnce(entry, agent, { random, deadlineMs });
      const isFailed = call.status === undefined || call.status >= 500;
      // The connection is kept while it works, whatever happens to the entry.
      if (isFailed || random.chance(ENTRY_CHANGE_SHARE)) {
        agent.destroy();
        agent = new Agent({ keepAlive: true, maxSockets: 1 });
        entry = random.pick(names);
      }
      await delay(random.pickInteger(0, MAX_PAUSE_MS));
    }
    agent.destroy();
  }

  /** Makes one call and keeps its record. */
  async callOnce(
    entry: string,
    agent: Agent,
    options: CallOptions = {},
  ): Promise<CallRecord> {
    const { portsByEntry, listKeys } = this.#options;
    const { random = this.#options.random, route: requestedRoute } = options;
    const route = requestedRoute ?? random.pick(Object.values(ROUTE));
    const { valid, withdrawn } = listKeys();
    const usesWithdrawnKey =
      requestedRoute === undefined &&
      withdrawn.length > 0 &&
      random.chance(WITHDRAWN_KEY_SHARE);
    const number = this.#callCount++;
    const record = createRecord({
      id: `c${number}`,
      route,
      entry,
      key: random.pick(usesWithdrawnKey ? withdrawn.slice(-2) : valid),
      secondPart: `m${number % SECOND_PART_COUNT}`,
      deadlineMs: options.deadlineMs,
      requestBody: options.requestBody,
    });
    this.calls.push(record);
    await sendCall(record, agent, portsByEntry.get(entry) ?? 0);
    record.endedAtMs = performance.now();
    const { localPort } = record;
    record.isUnaccepted =
      localPort !== undefined && this.#options.isUnaccepted(entry, localPort);
    return record;
  }
}
