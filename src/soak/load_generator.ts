/** Sends seeded load: calls of all client accounts to the entries. */

import {
  type CallerOutcome,
  sendChat,
  sendServiceCall,
} from "../testbed/callers.js";
import { delay } from "../testbed/delay.js";
import type { Fleet, Member } from "../testbed/fleet.js";
import {
  getApiKey,
  type RequestKind,
  type Workload,
} from "../testbed/workloads.js";
import type { CallRecord, Journal } from "./journal.js";
import { WORKLOADS } from "./layout.js";
import type { ProcessSupervisor } from "./process_supervisor.js";
import { Random } from "./random.js";

interface LoadGeneratorOptions {
  readonly fleet: Fleet;
  readonly journal: Journal;
  readonly supervisor: ProcessSupervisor;
  readonly seed: number;
  readonly requestsPerSecond: number;
}

/** A caller's session; its requests are sent one after the other. */
interface CallerSession {
  readonly id: string;
  readonly usesToken: boolean;
  token: string | undefined;
  isBusy: boolean;
}

const LOAD_SEED_OFFSET = 2_000_003;
const SESSION_SHARE = 0.4;
const SESSIONS_PER_CLASS = 6;
const ABANDONED_CALL_SHARE = 0.03;
const MAX_ABANDON_DELAY_MS = 600;
/** Share of the orders that are sent a second time with the same key. */
const DUPLICATE_ORDER_SHARE = 0.3;
const MAX_DUPLICATE_DELAY_MS = 1_500;
/** Attempts in all of a caller whose order was not answered. */
const MAX_ORDER_ATTEMPTS = 4;
const ORDER_RETRY_STEP_MS = 500;

interface CallSpec {
  readonly workload: Workload;
  readonly kind: RequestKind;
  readonly account: string;
  readonly entry: Member;
}

export class LoadGenerator {
  readonly #options: LoadGeneratorOptions;
  readonly #random: Random;
  readonly #sessions = new Map<string, CallerSession[]>();
  readonly #openCalls = new Set<Promise<void>>();
  #orderCount = 0;
  #rateFactor = 1;

  constructor(options: LoadGeneratorOptions) {
    this.#options = options;
    this.#random = new Random(options.seed + LOAD_SEED_OFFSET);
  }

  /** Multiplies the rate from now on. */
  multiplyRate(factor: number): void {
    this.#rateFactor *= factor;
  }

  /** Sends calls until the signal aborts; resolves when all are answered. */
  async run(signal: AbortSignal): Promise<void> {
    const gapMs = 1_000 / this.#options.requestsPerSecond;
    let atMs = performance.now();
    while (!signal.aborted) {
      atMs += (-Math.log(1 - this.#random.next()) * gapMs) / this.#rateFactor;
      await delay(Math.max(0, atMs - performance.now()));
      const call = this.#sendNext();
      this.#openCalls.add(call);
      void call.finally(() => this.#openCalls.delete(call));
    }
    await Promise.all([...this.#openCalls]);
  }

  async #sendNext(): Promise<void> {
    const random = this.#random;
    const workload = random.pick(WORKLOADS);
    const kind = random.chooseWeighted(workload.kinds);
    const account = random.pick(workload.accounts);
    const entry = this.#pickEntry();
    if (entry === undefined) return;
    const spec = { workload, kind, account, entry };
    if (kind.kind === "chat") await this.#sendChat(spec);
    else if (kind.idempotent) await this.#sendLookup(spec);
    else await this.#sendOrder(spec);
  }

  /** Like the load balancer, skips processes that are down or stopping. */
  #pickEntry(previous?: Member): Member | undefined {
    const { fleet, supervisor } = this.#options;
    const entries = fleet.members.filter(
      (member) => member.role === "entry" && supervisor.isServing(member),
    );
    const others = entries.filter((member) => member !== previous);
    const choice = others.length > 0 ? others : entries;
    return choice.length > 0 ? this.#random.pick(choice) : undefined;
  }

  async #sendChat(spec: CallSpec): Promise<void> {
    const { kind, account, entry } = spec;
    const random = this.#random;
    const session = random.chance(SESSION_SHARE)
      ? this.#takeIdleSession(account, kind.name)
      : undefined;
    const abandonAfterMs =
      session === undefined && random.chance(ABANDONED_CALL_SHARE)
        ? random.pickInteger(1, MAX_ABANDON_DELAY_MS)
        : undefined;
    const call = {
      port: entry.callerPort,
      apiKey: getApiKey(account),
      requestClass: kind.name,
      prompt: `${kind.name} ${random.pickInteger(1, 50)}`,
      maxTokens: random.pickInteger(2, kind.maxTokens),
      stream: random.chance(0.5),
      session: session?.id,
      sessionToken: session?.usesToken ? session.token : undefined,
      signal: createAbandonSignal(abandonAfterMs),
    };
    const outcome = await this.#record(
      spec,
      { kind: "chat", session: session?.id },
      { signal: call.signal, send: () => sendChat(call) },
    );
    if (session === undefined) return;
    if (outcome.kind === "answered") session.token = outcome.sessionToken;
    session.isBusy = false;
  }

  #takeIdleSession(account: string, name: string): CallerSession | undefined {
    const key = `${account}/${name}`;
    const sessions =
      this.#sessions.get(key) ??
      Array.from({ length: SESSIONS_PER_CLASS }, (_, index) => ({
        id: `${account}-${name}-${index}`,
        usesToken: index % 2 === 0,
        token: undefined,
        isBusy: false,
      }));
    this.#sessions.set(key, sessions);
    const session = this.#random.pick(sessions);
    if (session.isBusy) return undefined;
    session.isBusy = true;
    return session;
  }

  async #sendLookup(spec: CallSpec): Promise<void> {
    const { kind, account, entry } = spec;
    const call = {
      port: entry.callerPort,
      apiKey: getApiKey(account),
      service: kind.name,
      path: kind.name,
      body: { item: this.#random.pickInteger(1, 9) },
    };
    const send = () => sendServiceCall(call);
    await this.#record(spec, { kind: "lookup" }, { send });
  }

  /** Tries an order until it is answered, each time at another entry. */
  async #sendOrder(spec: CallSpec): Promise<void> {
    this.#orderCount += 1;
    const key = `order-${this.#orderCount}`;
    const random = this.#random;
    const first = this.#sendOrderOnce(spec, key);
    if (random.chance(DUPLICATE_ORDER_SHARE)) {
      await delay(random.pickInteger(0, MAX_DUPLICATE_DELAY_MS));
      const entry = this.#pickEntry(spec.entry);
      if (entry !== undefined)
        await this.#sendOrderOnce({ ...spec, entry }, key);
    }
    let outcome = await first;
    let lastEntry = spec.entry;
    for (let attempts = 1; attempts < MAX_ORDER_ATTEMPTS; attempts += 1) {
      if (outcome.kind === "answered") return;
      await delay(ORDER_RETRY_STEP_MS * attempts);
      const entry = this.#pickEntry(lastEntry);
      if (entry === undefined) return;
      lastEntry = entry;
      outcome = await this.#sendOrderOnce({ ...spec, entry }, key);
    }
  }

  #sendOrderOnce(
    spec: CallSpec,
    idempotencyKey: string,
  ): Promise<CallerOutcome> {
    const { kind, account, entry } = spec;
    const abandonAfterMs = this.#random.chance(ABANDONED_CALL_SHARE)
      ? this.#random.pickInteger(1, MAX_ABANDON_DELAY_MS)
      : undefined;
    const signal = createAbandonSignal(abandonAfterMs);
    const call = {
      port: entry.callerPort,
      apiKey: getApiKey(account),
      service: kind.name,
      path: kind.name,
      body: { order: idempotencyKey },
      idempotencyKey,
      signal,
    };
    const send = () => sendServiceCall(call);
    return this.#record(
      spec,
      { kind: "order", idempotencyKey },
      { signal, send },
    );
  }

  async #record(
    spec: CallSpec,
    details: Pick<CallRecord, "kind" | "session" | "idempotencyKey">,
    call: { signal?: AbortSignal; send: () => Promise<CallerOutcome> },
  ): Promise<CallerOutcome> {
    const sentMs = Date.now();
    const outcome = await call.send();
    this.#options.journal.calls.push({
      ...details,
      entry: spec.entry.name,
      account: spec.account,
      requestClass: spec.kind.name,
      sentMs,
      doneMs: Date.now(),
      isAbandoned: call.signal?.aborted === true && outcome.kind === "broken",
      outcome,
    });
    return outcome;
  }
}

function createAbandonSignal(
  afterMs: number | undefined,
): AbortSignal | undefined {
  return afterMs === undefined ? undefined : AbortSignal.timeout(afterMs);
}
