/** Injects faults drawn from a seed; each one ends its own effect. */

import { LinkCuts } from "../../soak/link_cuts.js";
import type { Random } from "../../soak/random.js";
import type { CutOptions, Direction, Link } from "../../standins/link.js";
import { delay } from "../../testbed/delay.js";
import type { ReplicaOptions } from "../standins/replica.js";
import type { StoreFaults } from "../standins/store.js";
import type { EntryMember, Fleet, ReplicaMember } from "./fleet.js";
import type { Disturbance } from "./records.js";
import { runRepeatFaults } from "./repeat_faults.js";
import { runStopSeries } from "./stop_series.js";

/** Shortest and longest duration of a fault, ms. */
const FAULT_DURATION_MS = { min: 300, max: 7_000 };
/** Longest time between the starts of two faults, ms; they may overlap. */
const MAX_FAULT_GAP_MS = 1_200;
/** Number of API keys that are valid at a time. */
const MAX_VALID_KEYS = 3;
/** Rates that replicas set, requests per second. */
const LIMITS_PER_SECOND = [0.5, 1.2, 2.4, 4.4];
/** Shortest and longest time for which a replica sets a rate, ms. */
const LIMIT_DURATION_MS = { min: 5_000, max: 12_000 };
/** Longest pause between two such times, ms. */
const MAX_LIMIT_GAP_MS = 3_000;
/** Time for a leaving replica to finish its work before it ends, ms. */
const LEAVING_DURATION_MS = 3_500;

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

/** Times around a restore of the store, ms. */
const RESTORE = {
  maxGapMs: 9_000,
  maxAgeMs: 6_000,
  maxOutageMs: 1_500,
  maxLateMs: 1_500,
} as const;

export interface FaultInjectorOptions {
  readonly fleet: Fleet;
  readonly random: Random;
  /** Apart from `random`, so that seeds keep their other faults. */
  readonly limitRandom: Random;
  readonly restoreRandom: Random;
  readonly repeatRandom: Random;
  readonly sendBurst: () => Promise<void>;
  /** Calls an entry during its planned stop; resolves when that may begin. */
  readonly startStopCalls: (
    entry: EntryMember,
    signal: AbortSignal,
  ) => Promise<{ readonly done: Promise<unknown> }>;
  readonly untilMs: number;
}

export class FaultInjector {
  readonly disturbances: Disturbance[] = [];
  readonly withdrawals = new Map<string, number>();
  readonly leavings = new Map<string, number>();
  readonly unexpectedExits: string[] = [];
  readonly counts = new Map<string, number>();
  readonly #options: FaultInjectorOptions;
  readonly #cuts = new LinkCuts();
  /** Entries whose process a fault has ended, or is about to. */
  readonly #endingEntries = new Set<EntryMember>();
  /** Replicas with a fault of their own; two at once would undo each other. */
  readonly #faultyReplicaIds = new Set<string>();
  #activeStoreFaults = 0;
  #nextKeyNumber = 0;

  constructor(options: FaultInjectorOptions) {
    this.#options = options;
    for (const entry of options.fleet.entries) this.#watchExit(entry);
  }

  /** Planned stops in series until the end time. */
  runStops(random: Random, repeatsStops: boolean): Promise<void> {
    const { fleet, untilMs } = this.#options;
    return runStopSeries({
      random,
      untilMs,
      entries: fleet.entries,
      stop: (entry) => {
        this.#countFault("stop");
        return this.#stop(entry);
      },
      changeConfiguration: () => fleet.writeConfiguration(),
      repeatsStops,
    });
  }

  /** Starts faults until the end time; resolves once all have ended. */
  async run(): Promise<void> {
    const { fleet, random, repeatRandom, sendBurst, untilMs } = this.#options;
    const running: Promise<void>[] = [
      this.#runLimits(),
      this.#runRestores(),
      runRepeatFaults({
        random: repeatRandom,
        untilMs,
        listReplicas: () => fleet.listCurrentReplicas(),
        sendBurst,
        onFault: () => this.#countFault("repeat"),
      }),
    ];
    while (performance.now() < untilMs) {
      running.push(this.#runFault());
      await delay(random.pickInteger(50, MAX_FAULT_GAP_MS));
    }
    await Promise.all(running);
  }

  /** Lets one replica after the other set a rate for some time. */
  async #runLimits(): Promise<void> {
    const { fleet, limitRandom: random, untilMs } = this.#options;
    while (performance.now() < untilMs) {
      const { options } = random.pick(fleet.listCurrentReplicas()).replica;
      options.limit = String(random.pick(LIMITS_PER_SECOND));
      this.#countFault("limit");
      const { min, max } = LIMIT_DURATION_MS;
      await delay(random.pickInteger(min, max));
      options.limit = undefined;
      await delay(random.pickInteger(0, MAX_LIMIT_GAP_MS));
    }
  }

  /** Lets the store come back from copies of several ages. */
  async #runRestores(): Promise<void> {
    const { fleet, restoreRandom: random, untilMs } = this.#options;
    const { maxGapMs, maxAgeMs, maxOutageMs, maxLateMs } = RESTORE;
    while (performance.now() < untilMs) {
      await delay(random.pickInteger(0, maxGapMs));
      const copy = fleet.store.takeCopy();
      await delay(random.pickInteger(0, maxAgeMs));
      this.#countFault("restore");
      const disturbance = this.#startDisturbance("store-restore");
      this.#activeStoreFaults++;
      fleet.store.faults = { outage: "reset" };
      await delay(random.pickInteger(0, maxOutageMs));
      fleet.store.restore(copy);
      this.#activeStoreFaults--;
      if (this.#activeStoreFaults === 0) fleet.store.faults = {};
      await fleet.writeAgain(random.pickInteger(0, maxLateMs));
      this.#endDisturbance(disturbance);
    }
  }

  async #runFault(): Promise<void> {
    const { fleet, random } = this.#options;
    const entry = random.pick(fleet.entries);
    const replica = random.pick(fleet.listCurrentReplicas());
    const durationMs = random.pickInteger(
      FAULT_DURATION_MS.min,
      FAULT_DURATION_MS.max,
    );
    const cutOptions = this.#pickCutOptions();
    const fault = random.chooseWeighted([
      { weight: 2, kind: "kill", run: () => this.#kill(entry, durationMs) },
      { weight: 2, kind: "stop", run: () => this.#stop(entry) },
      { weight: 2, kind: "freeze", run: () => this.#freeze(entry, durationMs) },
      {
        weight: 3,
        kind: "cut-store",
        run: () =>
          this.#cutLink(entry.name, entry.storeLink, cutOptions, durationMs),
      },
      {
        weight: 1,
        kind: "cut-callers",
        run: () =>
          this.#cutLink(entry.name, entry.callerLink, cutOptions, durationMs),
      },
      {
        weight: 2,
        kind: "cut-replica",
        run: () =>
          this.#cutLink(replica.id, replica.link, cutOptions, durationMs),
      },
      {
        weight: 1,
        kind: "slow-store",
        run: () => this.#slowLink(entry.name, entry.storeLink, durationMs),
      },
      { weight: 2, kind: "store", run: () => this.#failStore(durationMs) },
      { weight: 1, kind: "compact", run: () => this.#compactStore() },
      {
        weight: 3,
        kind: "replica",
        run: () => this.#failReplica(replica, durationMs),
      },
      { weight: 2, kind: "leave", run: () => this.#replaceReplica(replica) },
      { weight: 2, kind: "key", run: () => this.#rotateKeys() },
      { weight: 1, kind: "kill-all", run: () => this.#killAll() },
    ]);
    this.#countFault(fault.kind);
    await fault.run();
  }

  #countFault(kind: string): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
  }

  #pickCutOptions(): CutOptions {
    const { random } = this.#options;
    const direction = random.pick<Direction>(["both", "requests", "replies"]);
    return random.chance(0.5) ? { mode: "reset" } : { mode: "hold", direction };
  }

  #startDisturbance(
    kind: string,
    member?: string,
    isPlanned = false,
  ): Disturbance {
    const fromMs = performance.now();
    const toMs = Number.POSITIVE_INFINITY;
    const disturbance = { kind, member, fromMs, toMs, isPlanned };
    this.disturbances.push(disturbance);
    return disturbance;
  }

  #endDisturbance(disturbance: Disturbance): void {
    disturbance.toMs = performance.now();
  }

  async #kill(entry: EntryMember, downMs: number): Promise<void> {
    if (this.#endingEntries.has(entry)) return;
    this.#endingEntries.add(entry);
    const disturbance = this.#startDisturbance("kill", entry.name);
    await entry.process?.kill();
    await delay(downMs / 3);
    await this.#restart(entry);
    this.#endDisturbance(disturbance);
  }

  async #stop(entry: EntryMember): Promise<void> {
    if (this.#endingEntries.has(entry)) return;
    this.#endingEntries.add(entry);
    const gone = new AbortController();
    const calls = await this.#options.startStopCalls(entry, gone.signal);
    const disturbance = this.#startDisturbance("stop", entry.name, true);
    const status = await entry.process?.stop();
    disturbance.goneAtMs = performance.now();
    gone.abort();
    if (status?.code !== 0) {
      const text = `${entry.name} after SIGTERM: ${JSON.stringify(status)}`;
      this.unexpectedExits.push(text);
    }
    await this.#restart(entry);
    this.#endDisturbance(disturbance);
    await calls.done;
  }

  async #killAll(): Promise<void> {
    const { fleet } = this.#options;
    await Promise.all(fleet.entries.map((entry) => this.#kill(entry, 0)));
  }

  async #restart(entry: EntryMember): Promise<void> {
    await this.#options.fleet.startEntry(entry);
    this.#endingEntries.delete(entry);
    this.#watchExit(entry);
  }

  #watchExit(entry: EntryMember): void {
    void entry.process?.exited.then((status) => {
      if (this.#endingEntries.has(entry) || this.isStoppingEntries) return;
      const text = `${entry.name}: ${JSON.stringify(status)}`;
      this.unexpectedExits.push(text);
    });
  }

  /** Set before the soak stops the entries itself. */
  isStoppingEntries = false;

  async #freeze(entry: EntryMember, durationMs: number): Promise<void> {
    const { process } = entry;
    if (this.#endingEntries.has(entry) || process === undefined) return;
    const disturbance = this.#startDisturbance("freeze", entry.name);
    process.freeze();
    await Promise.race([delay(durationMs), process.exited]);
    process.resume();
    this.#endDisturbance(disturbance);
  }

  async #cutLink(
    member: string,
    link: Link,
    options: CutOptions,
    durationMs: number,
  ): Promise<void> {
    const disturbance = this.#startDisturbance("cut", member);
    await this.#cuts.cut([link], options, durationMs);
    this.#endDisturbance(disturbance);
  }

  async #slowLink(
    member: string,
    link: Link,
    durationMs: number,
  ): Promise<void> {
    const disturbance = this.#startDisturbance("slow", member);
    link.delay(this.#options.random.pickInteger(100, 1_500));
    await delay(durationMs);
    link.delay(0);
    this.#endDisturbance(disturbance);
  }

  async #failStore(durationMs: number): Promise<void> {
    const { fleet, random } = this.#options;
    const disturbance = this.#startDisturbance("store");
    this.#activeStoreFaults++;
    fleet.store.faults = random.pick(STORE_FAULTS);
    await delay(durationMs);
    this.#activeStoreFaults--;
    if (this.#activeStoreFaults === 0) fleet.store.faults = {};
    this.#endDisturbance(disturbance);
  }

  async #compactStore(): Promise<void> {
    const disturbance = this.#startDisturbance("compact");
    this.#options.fleet.store.compact();
    this.#endDisturbance(disturbance);
  }

  async #failReplica({ id, replica }: ReplicaMember, durationMs: number) {
    if (this.#faultyReplicaIds.has(id)) return;
    this.#faultyReplicaIds.add(id);
    const disturbance = this.#startDisturbance("replica", id);
    const before = { ...replica.options };
    const fault = this.#options.random.pick(REPLICA_FAULTS);
    Object.assign(replica.options, fault);
    await delay(durationMs);
    const names = Object.keys(fault) as (keyof ReplicaOptions)[];
    for (const name of names) {
      Object.assign(replica.options, { [name]: before[name] });
    }
    this.#faultyReplicaIds.delete(id);
    this.#endDisturbance(disturbance);
  }

  /** A replica leaves, and another one takes its place. */
  async #replaceReplica(member: ReplicaMember): Promise<void> {
    const { fleet, random } = this.#options;
    if (!fleet.currentReplicaIds.delete(member.id)) return;
    await fleet.addReplica();
    member.replica.options.isLeaving = true;
    // Some replicas tell only their callers, not the store.
    if (random.chance(0.5)) {
      this.leavings.set(member.id, performance.now());
      member.isDraining = true;
      fleet.writeReplica(member, "draining");
    }
    await delay(LEAVING_DURATION_MS);
    member.hasLeft = true;
    fleet.store.delete("servers", member.id);
    const disturbance = this.#startDisturbance("gone", member.id);
    member.replica.close();
    await member.link.close();
    this.#endDisturbance(disturbance);
    disturbance.toMs = Number.POSITIVE_INFINITY;
  }

  /** A key is withdrawn and another one is added. */
  async #rotateKeys(): Promise<void> {
    const { fleet } = this.#options;
    const { apiKeys } = fleet;
    apiKeys.push(`key-${this.#nextKeyNumber++}`);
    const withdrawn =
      apiKeys.length > MAX_VALID_KEYS ? apiKeys.shift() : undefined;
    fleet.writeConfiguration();
    if (withdrawn !== undefined) {
      this.withdrawals.set(withdrawn, performance.now());
    }
  }

  /** Ends effects that overlapping faults may have left. */
  heal(): void {
    const { fleet } = this.#options;
    fleet.store.faults = {};
    for (const { callerLink, storeLink } of fleet.entries) {
      callerLink.heal();
      storeLink.heal();
    }
  }
}
