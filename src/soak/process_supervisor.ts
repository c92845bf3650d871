/** Kills, freezes and restarts daemon processes, and records each lifetime. */

import type { ManagedProcess } from "../standins/managed_process.js";
import { delay } from "../testbed/delay.js";
import type { Fleet, Member } from "../testbed/fleet.js";
import type { Journal, ProcessLifetime } from "./journal.js";

/** Delay before a process that ended by itself is started again. */
const CRASH_RESTART_DELAY_MS = 500;

export class ProcessSupervisor {
  readonly #fleet: Fleet;
  readonly #journal: Journal;
  readonly #latestLifetimes = new Map<string, ProcessLifetime>();
  readonly #restarts = new Set<Promise<void>>();
  readonly #starts = new Map<string, Promise<void>>();
  #isStopping = false;

  constructor(fleet: Fleet, journal: Journal) {
    this.#fleet = fleet;
    this.#journal = journal;
  }

  /** Starts to record the processes that the fleet has started. */
  watchAll(): void {
    for (const member of this.#fleet.members) this.#watch(member);
  }

  /** True when the platform's load balancer would send it requests. */
  isServing(member: Member): boolean {
    const lifetime = this.#latestLifetimes.get(member.name);
    return (
      lifetime !== undefined &&
      lifetime.endedMs === undefined &&
      lifetime.stopRequestedMs === undefined
    );
  }

  async kill(member: Member, downMs: number): Promise<boolean> {
    const lifetime = this.#findRunningLifetime(member);
    if (lifetime === undefined) return false;
    lifetime.killedMs = Date.now();
    await member.process?.kill();
    await delay(downMs);
    await this.#start(member);
    return true;
  }

  /** Asks for a graceful shutdown and starts the process again. */
  async restart(member: Member, downMs: number): Promise<boolean> {
    const lifetime = this.#findRunningLifetime(member);
    if (lifetime === undefined || lifetime.stopRequestedMs !== undefined)
      return false;
    lifetime.stopRequestedMs = Date.now();
    await member.process?.stop();
    await delay(downMs);
    await this.#start(member);
    return true;
  }

  async freeze(member: Member, durationMs: number): Promise<boolean> {
    const lifetime = this.#findRunningLifetime(member);
    const { process } = member;
    if (lifetime === undefined || process === undefined) return false;
    const period = this.#journal.startPeriod(
      this.#journal.freezes,
      member.name,
    );
    process.freeze();
    await Promise.race([delay(durationMs), process.exited]);
    process.resume();
    period.toMs = Date.now();
    return true;
  }

  /** Waits until every process that ended by itself runs again. */
  async waitForRestarts(): Promise<void> {
    await Promise.all([...this.#restarts]);
  }

  async stopAll(): Promise<void> {
    this.#isStopping = true;
    await Promise.all(
      this.#fleet.members.map(async (member) => {
        const lifetime = this.#findRunningLifetime(member);
        if (lifetime !== undefined) lifetime.stopRequestedMs ??= Date.now();
        await member.process?.stop();
      }),
    );
  }

  #findRunningLifetime(member: Member): ProcessLifetime | undefined {
    const lifetime = this.#latestLifetimes.get(member.name);
    return lifetime?.endedMs === undefined ? lifetime : undefined;
  }

  /** Starts the process only once if two faults have ended it. */
  async #start(member: Member): Promise<void> {
    const starting = this.#starts.get(member.name) ?? this.#startIfDown(member);
    this.#starts.set(member.name, starting);
    await starting.finally(() => this.#starts.delete(member.name));
  }

  async #startIfDown(member: Member): Promise<void> {
    if (this.#isStopping || this.#findRunningLifetime(member) !== undefined)
      return;
    await this.#fleet.startMember(member);
    this.#watch(member);
  }

  #watch(member: Member): void {
    const { process } = member;
    if (process === undefined) return;
    const lifetime: ProcessLifetime = {
      member: member.name,
      startedMs: Date.now(),
    };
    this.#latestLifetimes.set(member.name, lifetime);
    this.#journal.lives.push(lifetime);
    void this.#followExit(member, lifetime, process);
  }

  async #followExit(
    member: Member,
    lifetime: ProcessLifetime,
    process: ManagedProcess,
  ): Promise<void> {
    lifetime.status = await process.exited;
    lifetime.endedMs = Date.now();
    const isPlanned =
      lifetime.killedMs !== undefined || lifetime.stopRequestedMs !== undefined;
    if (isPlanned || this.#isStopping) return;
    const restart = delay(CRASH_RESTART_DELAY_MS).then(() =>
      this.#start(member),
    );
    this.#restarts.add(restart);
    await restart.finally(() => this.#restarts.delete(restart));
  }
}
