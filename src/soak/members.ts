/** Kills, freezes and stops daemon processes, and writes down their lives. */

import type { ManagedProcess } from "../standins/managed_process.js";
import { delay } from "../testbed/delay.js";
import type { Fleet, Member } from "../testbed/fleet.js";
import type { Journal, Life } from "./journal.js";

/** Before a process that ended by itself is started again. */
const CRASH_RESTART_MS = 500;

export class Members {
  readonly #fleet: Fleet;
  readonly #journal: Journal;
  readonly #lives = new Map<string, Life>();
  readonly #restarts = new Set<Promise<void>>();
  readonly #starts = new Map<string, Promise<void>>();
  #isClosing = false;

  constructor(fleet: Fleet, journal: Journal) {
    this.#fleet = fleet;
    this.#journal = journal;
  }

  /** Follows the processes that the fleet has started. */
  watchAll(): void {
    for (const member of this.#fleet.members) this.#watch(member);
  }

  /** True when the platform's load balancer would send it work. */
  isServing(member: Member): boolean {
    const life = this.#lives.get(member.name);
    return (
      life !== undefined &&
      life.endedMs === undefined &&
      life.stopRequestedMs === undefined
    );
  }

  async kill(member: Member, downMs: number): Promise<boolean> {
    const life = this.#findLife(member);
    if (life === undefined) return false;
    life.killedMs = Date.now();
    await member.process?.kill();
    await delay(downMs);
    await this.#start(member);
    return true;
  }

  /** Asks for a graceful shutdown and starts the process again. */
  async restart(member: Member, downMs: number): Promise<boolean> {
    const life = this.#findLife(member);
    if (life === undefined || life.stopRequestedMs !== undefined) return false;
    life.stopRequestedMs = Date.now();
    await member.process?.stop();
    await delay(downMs);
    await this.#start(member);
    return true;
  }

  async freeze(member: Member, forMs: number): Promise<boolean> {
    const life = this.#findLife(member);
    const { process } = member;
    if (life === undefined || process === undefined) return false;
    const period = this.#journal.openPeriod(this.#journal.freezes, member.name);
    process.freeze();
    await Promise.race([delay(forMs), process.exited]);
    process.resume();
    period.toMs = Date.now();
    return true;
  }

  /** Waits until every process that ended by itself runs again. */
  async settle(): Promise<void> {
    await Promise.all([...this.#restarts]);
  }

  async stopAll(): Promise<void> {
    this.#isClosing = true;
    await Promise.all(
      this.#fleet.members.map(async (member) => {
        const life = this.#findLife(member);
        if (life !== undefined) life.stopRequestedMs ??= Date.now();
        await member.process?.stop();
      }),
    );
  }

  #findLife(member: Member): Life | undefined {
    const life = this.#lives.get(member.name);
    return life?.endedMs === undefined ? life : undefined;
  }

  /** Two faults that ended the process start it once. */
  async #start(member: Member): Promise<void> {
    const starting = this.#starts.get(member.name) ?? this.#startOnce(member);
    this.#starts.set(member.name, starting);
    await starting.finally(() => this.#starts.delete(member.name));
  }

  async #startOnce(member: Member): Promise<void> {
    if (this.#isClosing || this.#findLife(member) !== undefined) return;
    await this.#fleet.startMember(member);
    this.#watch(member);
  }

  #watch(member: Member): void {
    const { process } = member;
    if (process === undefined) return;
    const life: Life = { member: member.name, startedMs: Date.now() };
    this.#lives.set(member.name, life);
    this.#journal.lives.push(life);
    void this.#followExit(member, life, process);
  }

  async #followExit(
    member: Member,
    life: Life,
    process: ManagedProcess,
  ): Promise<void> {
    life.status = await process.exited;
    life.endedMs = Date.now();
    const isPlanned =
      life.killedMs !== undefined || life.stopRequestedMs !== undefined;
    if (isPlanned || this.#isClosing) return;
    const restart = delay(CRASH_RESTART_MS).then(() => this.#start(member));
    this.#restarts.add(restart);
    await restart.finally(() => this.#restarts.delete(restart));
  }
}
