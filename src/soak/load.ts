/** Seeded load: calls of all client accounts to the entries. */

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
import type { Members } from "./members.js";
import { Random } from "./random.js";

interface LoadOptions {
  readonly fleet: Fleet;
  readonly journal: Journal;
  readonly members: Members;
  readonly seed: number;
  readonly perSecond: number;
}

/** A caller's session; requests of one session come one after the other. */
interface CallerSession {
  readonly id: string;
  readonly usesToken: boolean;
  token: string | undefined;
  isBusy: boolean;
}

const LOAD_STREAM = 2_000_003;
const SESSION_SHARE = 0.4;
const SESSIONS_PER_CLASS = 6;
const GO_AWAY_SHARE = 0.03;
const MAX_GO_AWAY_MS = 600;
/** Share of the orders that are sent a second time with the same key. */
const REPEAT_SHARE = 0.3;
const MAX_REPEAT_MS = 1_500;
/** A caller whose order was not answered tries this often in all. */
const MAX_ORDER_TRIES = 4;
const ORDER_RETRY_MS = 500;

interface CallSpec {
  readonly workload: Workload;
  readonly kind: RequestKind;
  readonly account: string;
  readonly entry: Member;
}

export class Load {
  readonly #options: LoadOptions;
  readonly #random: Random;
  readonly #sessions = new Map<string, CallerSession[]>();
  readonly #open = new Set<Promise<void>>();
  #orders = 0;
  #factor = 1;

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#random = new Random(options.seed + LOAD_STREAM);
  }

  /** Multiplies the rate from now on. */
  scale(factor: number): void {
    this.#factor *= factor;
  }

  /** Sends calls until the signal aborts; settles when all are answered. */
  async run(signal: AbortSignal): Promise<void> {
    const gapMs = 1_000 / this.#options.perSecond;
    let atMs = performance.now();
    while (!signal.aborted) {
      atMs += (-Math.log(1 - this.#random.next()) * gapMs) / this.#factor;
      await delay(Math.max(0, atMs - performance.now()));
      const call = this.#sendNext();
      this.#open.add(call);
      void call.finally(() => this.#open.delete(call));
    }
    await Promise.all([...this.#open]);
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

  /** The balancer leaves out processes that are gone or stopping. */
  #pickEntry(other?: Member): Member | undefined {
    const { fleet, members } = this.#options;
    const entries = fleet.members.filter(
      (member) => member.role === "entry" && members.isServing(member),
    );
    const others = entries.filter((member) => member !== other);
    const choice = others.length > 0 ? others : entries;
    return choice.length > 0 ? this.#random.pick(choice) : undefined;
  }

  async #sendChat(spec: CallSpec): Promise<void> {
    const { kind, account, entry } = spec;
    const random = this.#random;
    const session = random.chance(SESSION_SHARE)
      ? this.#takeSession(account, kind.name)
      : undefined;
    const leavesAfterMs =
      session === undefined && random.chance(GO_AWAY_SHARE)
        ? random.pickInteger(1, MAX_GO_AWAY_MS)
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
      signal: createLeaving(leavesAfterMs),
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

  #takeSession(account: string, name: string): CallerSession | undefined {
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
    this.#orders += 1;
    const key = `order-${this.#orders}`;
    const random = this.#random;
    const first = this.#tryOrder(spec, key);
    if (random.chance(REPEAT_SHARE)) {
      await delay(random.pickInteger(0, MAX_REPEAT_MS));
      const entry = this.#pickEntry(spec.entry);
      if (entry !== undefined) await this.#tryOrder({ ...spec, entry }, key);
    }
    let outcome = await first;
    let last = spec.entry;
    for (let count = 1; count < MAX_ORDER_TRIES; count += 1) {
      if (outcome.kind === "answered") return;
      await delay(ORDER_RETRY_MS * count);
      const entry = this.#pickEntry(last);
      if (entry === undefined) return;
      last = entry;
      outcome = await this.#tryOrder({ ...spec, entry }, key);
    }
  }

  #tryOrder(spec: CallSpec, idempotencyKey: string): Promise<CallerOutcome> {
    const { kind, account, entry } = spec;
    const leavesAfterMs = this.#random.chance(GO_AWAY_SHARE)
      ? this.#random.pickInteger(1, MAX_GO_AWAY_MS)
      : undefined;
    const signal = createLeaving(leavesAfterMs);
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

function createLeaving(afterMs: number | undefined): AbortSignal | undefined {
  return afterMs === undefined ? undefined : AbortSignal.timeout(afterMs);
}
