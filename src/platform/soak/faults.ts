/** Faults drawn from a seed; each one ends its own effect. */

import { Cuts } from "../../soak/cuts.js";
import type { Random } from "../../soak/random.js";
import type { CutOptions, Direction, Link } from "../../standins/link.js";
import { delay } from "../../testbed/delay.js";
import type { ReplicaOptions } from "../standins/replica.js";
import type { StoreFaults } from "../standins/store.js";
import type { EntryMember, Fleet, ReplicaMember } from "./fleet.js";
import type { Disturbance } from "./records.js";

/** Shortest and longest effect of a fault, ms. */
const EFFECT_MS = { least: 300, most: 7_000 };
/** Longest pause between two faults, ms; effects overlap. */
const GAP_MS = 1_200;
/** Keys that callers may hold at a time. */
const MAX_KEYS = 3;
/** A replica that leaves finishes its work before it ends, ms. */
const LEAVING_MS = 3_500;

const REPLICA_FAULTS: readonly Partial<ReplicaOptions>[] = [
  { isFull: true },
  { isFull: true, retryAfter: "2.5" },
  { isFailing: true },
  { neverAnswers: true },
  { cutAfterEvents: 2 },
  { sendsWrongRequestId: true },
  { delayMs: 250 },
];
const STORE_FAULTS: readonly StoreFaults[] = [
  { outage: "busy" },
  { outage: "reset" },
  { outage: "silent" },
];

export interface FaultsOptions {
  readonly fleet: Fleet;
  readonly random: Random;
  readonly untilMs: number;
}

export class Faults {
  readonly disturbances: Disturbance[] = [];
  readonly withdrawals = new Map<string, number>();
  readonly leavings = new Map<string, number>();
  readonly unexpectedExits: string[] = [];
  readonly counts = new Map<string, number>();
  readonly #options: FaultsOptions;
  readonly #cuts = new Cuts();
  /** Entries whose process a fault has ended, or is about to. */
  readonly #ending = new Set<EntryMember>();
  /** Replicas with a fault of their own; two at once would hide each other's end. */
  readonly #faulty = new Set<string>();
  #storeFaults = 0;
  #keyCount = 0;

  constructor(options: FaultsOptions) {
    this.#options = options;
  }

  /** Runs faults in series and side by side; settles once all have ended. */
  async run(): Promise<void> {
    const { fleet, random, untilMs } = this.#options;
    for (const entry of fleet.entries) this.#watchExit(entry);
    const running: Promise<void>[] = [];
    while (performance.now() < untilMs) {
      running.push(this.#runFault());
      await delay(random.pickInteger(50, GAP_MS));
    }
    await Promise.all(running);
  }

  async #runFault(): Promise<void> {
    const { fleet, random } = this.#options;
    const entry = random.pick(fleet.entries);
    const current = fleet.replicas.filter(({ id }) => fleet.current.has(id));
    const replica = random.pick(current);
    const forMs = random.pickInteger(EFFECT_MS.least, EFFECT_MS.most);
    const link = this.#drawCut();
    const fault = random.chooseWeighted([
      { weight: 2, kind: "kill", run: () => this.#kill(entry, forMs) },
      { weight: 2, kind: "stop", run: () => this.#stop(entry) },
      { weight: 2, kind: "freeze", run: () => this.#freeze(entry, forMs) },
      {
        weight: 3,
        kind: "cut-store",
        run: () => this.#cut(entry.name, entry.storeLink, link, forMs),
      },
      {
        weight: 1,
        kind: "cut-callers",
        run: () => this.#cut(entry.name, entry.callerLink, link, forMs),
      },
      {
        weight: 2,
        kind: "cut-replica",
        run: () => this.#cut(replica.id, replica.link, link, forMs),
      },
      {
        weight: 1,
        kind: "slow-store",
        run: () => this.#slow(entry.name, entry.storeLink, forMs),
      },
      { weight: 2, kind: "store", run: () => this.#failStore(forMs) },
      { weight: 1, kind: "compact", run: () => this.#compact() },
      {
        weight: 3,
        kind: "replica",
        run: () => this.#failReplica(replica, forMs),
      },
      { weight: 2, kind: "leave", run: () => this.#replace(replica) },
      { weight: 2, kind: "key", run: () => this.#changeKeys() },
      { weight: 1, kind: "kill-all", run: () => this.#killAll() },
    ]);
    this.counts.set(fault.kind, (this.counts.get(fault.kind) ?? 0) + 1);
    await fault.run();
  }

  #drawCut(): CutOptions {
    const { random } = this.#options;
    const direction = random.pick<Direction>(["both", "requests", "replies"]);
    return random.chance(0.5) ? { mode: "reset" } : { mode: "hold", direction };
  }

  #begin(kind: string, member?: string, isPlanned = false): Disturbance {
    const fromMs = performance.now();
    const toMs = Number.POSITIVE_INFINITY;
    const disturbance = { kind, member, fromMs, toMs, isPlanned };
    this.disturbances.push(disturbance);
    return disturbance;
  }

  #end(disturbance: Disturbance): void {
    disturbance.toMs = performance.now();
  }

  async #kill(entry: EntryMember, downMs: number): Promise<void> {
    if (this.#ending.has(entry)) return;
    this.#ending.add(entry);
    const disturbance = this.#begin("kill", entry.name);
    await entry.process?.kill();
    await delay(downMs / 3);
    await this.#startAgain(entry);
    this.#end(disturbance);
  }

  async #stop(entry: EntryMember): Promise<void> {
    if (this.#ending.has(entry)) return;
    this.#ending.add(entry);
    const disturbance = this.#begin("stop", entry.name, true);
    const status = await entry.process?.stop();
    if (status?.code !== 0) {
      const text = `${entry.name} after SIGTERM: ${JSON.stringify(status)}`;
      this.unexpectedExits.push(text);
    }
    await this.#startAgain(entry);
    this.#end(disturbance);
  }

  async #killAll(): Promise<void> {
    const { fleet } = this.#options;
    await Promise.all(fleet.entries.map((entry) => this.#kill(entry, 0)));
  }

  async #startAgain(entry: EntryMember): Promise<void> {
    await this.#options.fleet.startEntry(entry);
    this.#ending.delete(entry);
    this.#watchExit(entry);
  }

  #watchExit(entry: EntryMember): void {
    void entry.process?.exited.then((status) => {
      if (this.#ending.has(entry) || this.isOver) return;
      const text = `${entry.name}: ${JSON.stringify(status)}`;
      this.unexpectedExits.push(text);
    });
  }

  /** Set once the entries are ended on purpose. */
  isOver = false;

  async #freeze(entry: EntryMember, forMs: number): Promise<void> {
    const { process } = entry;
    if (this.#ending.has(entry) || process === undefined) return;
    const disturbance = this.#begin("freeze", entry.name);
    process.freeze();
    await Promise.race([delay(forMs), process.exited]);
    process.resume();
    this.#end(disturbance);
  }

  async #cut(
    member: string,
    link: Link,
    options: CutOptions,
    forMs: number,
  ): Promise<void> {
    const disturbance = this.#begin("cut", member);
    await this.#cuts.cut([link], options, forMs);
    this.#end(disturbance);
  }

  async #slow(member: string, link: Link, forMs: number): Promise<void> {
    const disturbance = this.#begin("slow", member);
    link.delay(this.#options.random.pickInteger(100, 1_500));
    await delay(forMs);
    link.delay(0);
    this.#end(disturbance);
  }

  async #failStore(forMs: number): Promise<void> {
    const { fleet, random } = this.#options;
    const disturbance = this.#begin("store");
    this.#storeFaults++;
    fleet.store.faults = random.pick(STORE_FAULTS);
    await delay(forMs);
    this.#storeFaults--;
    if (this.#storeFaults === 0) fleet.store.faults = {};
    this.#end(disturbance);
  }

  async #compact(): Promise<void> {
    const disturbance = this.#begin("compact");
    this.#options.fleet.store.compact();
    this.#end(disturbance);
  }

  async #failReplica({ id, replica }: ReplicaMember, forMs: number) {
    if (this.#faulty.has(id)) return;
    this.#faulty.add(id);
    const disturbance = this.#begin("replica", id);
    const before = { ...replica.options };
    const fault = this.#options.random.pick(REPLICA_FAULTS);
    Object.assign(replica.options, fault);
    await delay(forMs);
    const names = Object.keys(fault) as (keyof ReplicaOptions)[];
    for (const name of names) {
      Object.assign(replica.options, { [name]: before[name] });
    }
    this.#faulty.delete(id);
    this.#end(disturbance);
  }

  /** A replica leaves, and another one takes its place. */
  async #replace(member: ReplicaMember): Promise<void> {
    const { fleet, random } = this.#options;
    if (!fleet.current.delete(member.id)) return;
    await fleet.addReplica();
    member.replica.options.isLeaving = true;
    // Some tell their callers only.
    if (random.chance(0.5)) {
      this.leavings.set(member.id, performance.now());
      fleet.writeReplica(member, "draining");
    }
    await delay(LEAVING_MS);
    fleet.store.delete("servers", member.id);
    const disturbance = this.#begin("gone", member.id);
    member.replica.close();
    await member.link.close();
    this.#end(disturbance);
    disturbance.toMs = Number.POSITIVE_INFINITY;
  }

  /** A key is withdrawn and another one is added. */
  async #changeKeys(): Promise<void> {
    const { fleet } = this.#options;
    const { keys } = fleet;
    keys.push(`key-${this.#keyCount++}`);
    const withdrawn = keys.length > MAX_KEYS ? keys.shift() : undefined;
    fleet.writeConfiguration();
    if (withdrawn !== undefined) {
      this.withdrawals.set(withdrawn, performance.now());
    }
  }

  /** Ends what faults that overlap may have left. */
  heal(): void {
    const { fleet } = this.#options;
    fleet.store.faults = {};
    for (const { callerLink, storeLink } of fleet.entries) {
      callerLink.heal();
      storeLink.heal();
    }
  }
}
