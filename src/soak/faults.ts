/** Carries out the planned faults; each one ends its own effect. */

import { delay } from "../testbed/delay.js";
import {
  type CompoundParts,
  runKillBehindCut,
  runSealOfLiveOwner,
  runStaleEntry,
  takeOver,
} from "./compound_faults.js";
import { Cuts } from "./cuts.js";
import type { FaultsOptions } from "./faults_options.js";
import type { FaultAction, PlannedFault } from "./plan.js";

type ActionOf<K extends FaultAction["kind"]> = FaultAction & { kind: K };

export class Faults {
  readonly #options: FaultsOptions;
  readonly #cuts = new Cuts();
  readonly #compound: CompoundParts;
  #tail: Promise<void> = Promise.resolve();

  constructor(options: FaultsOptions) {
    this.#options = options;
    this.#compound = { ...options, cuts: this.#cuts };
  }

  /** Runs the whole plan; settles when the last effect is over. */
  async run(plan: readonly PlannedFault[]): Promise<void> {
    const startMs = performance.now();
    await Promise.all(
      plan.map(async (fault) => {
        await delay(startMs + fault.atMs - performance.now());
        const hasActed = await this.#perform(fault.action, fault.forMs);
        if (!hasActed) return;
        const { kind } = fault.action;
        const role = "member" in fault.action ? fault.action.member : "";
        const suffix = role === "" ? "" : `-${role.replace(/-\d+$/, "")}`;
        this.#options.journal.countFault(`${kind}${suffix}`);
      }),
    );
  }

  /** True when the fault had a target to act on. */
  async #perform(action: FaultAction, forMs: number): Promise<boolean> {
    const { fleet, journal, members } = this.#options;
    switch (action.kind) {
      case "kill":
        return members.kill(fleet.getMember(action.member), forMs);
      case "stop":
        return members.restart(fleet.getMember(action.member), forMs);
      case "freeze":
        return members.freeze(fleet.getMember(action.member), forMs);
      case "leaving":
        return this.#leave(action.member, forMs);
      case "cut-link":
        return this.#cutLink(action, forMs);
      case "slow-link":
        return this.#slowLink(action, forMs);
      case "cut-data-centre": {
        const links = fleet.listLinksAcross(action.dataCentre);
        return this.#cuts.cut(links, { mode: action.mode }, forMs);
      }
      case "store-down":
        return this.#control("store", { outage: action.outage }, forMs, {
          outage: "none",
        });
      case "store-slow":
        return this.#control("store", { delayMs: action.delayMs }, forMs, {
          delayMs: 0,
        });
      case "store-loses-replies":
        return this.#control("store", { loseReplyShare: action.share }, forMs, {
          loseReplyShare: 0,
        });
      case "engine-cold": {
        const { endpoint } = action;
        const patch = { turnCold: true, coldStartMs: forMs };
        const period = journal.openPeriod(journal.colds, endpoint);
        await fleet.control(`back-${endpoint}`, patch);
        await delay(forMs);
        period.toMs = Date.now();
        return true;
      }
      case "back-end-frozen":
        return this.#control(
          `back-${action.endpoint}`,
          { frozen: true },
          forMs,
          { frozen: false },
        );
      case "service-loses-replies":
        return this.#control(
          `back-${action.endpoint}`,
          { loseReplyShare: 0.3 },
          forMs,
          { loseReplyShare: 0 },
        );
      case "version-bad":
        return this.#turnBad(action.version, forMs);
      case "ratings-down":
        return this.#control("ratings", { outage: true }, forMs, {
          outage: false,
        });
      case "burst":
        return this.#burst(action.factor, forMs);
      case "stale-entry":
        return runStaleEntry(action, this.#compound, forMs);
      case "kill-behind-cut":
        return runKillBehindCut(action, this.#compound, forMs);
      case "take-over":
        return takeOver(action, this.#compound, forMs);
      case "seal-live-owner":
        return runSealOfLiveOwner(action, this.#compound, forMs);
    }
  }

  async #control(
    standin: string,
    patch: object,
    forMs: number,
    undo: object,
  ): Promise<boolean> {
    const { fleet } = this.#options;
    await fleet.control(standin, patch);
    await delay(forMs);
    await fleet.control(standin, undo);
    return true;
  }

  async #turnBad(version: string, forMs: number): Promise<boolean> {
    const { fleet } = this.#options;
    const engines = fleet.endpointSpecs.filter(
      (item) => item.kind === "engine",
    );
    const controlAll = (patch: object) =>
      Promise.all(
        engines.map(({ name }) => fleet.control(`back-${name}`, patch)),
      );
    await controlAll({ turnBad: version });
    await delay(forMs);
    await controlAll({ turnGood: version });
    return true;
  }

  async #leave(name: string, forMs: number): Promise<boolean> {
    const { fleet, journal } = this.#options;
    const member = fleet.getMember(name);
    if (member.leaving) return false;
    member.leaving = true;
    await this.#publish();
    const period = journal.openPeriod(journal.leavings, name);
    await delay(forMs);
    // It ends before the list says so.
    period.toMs = Date.now();
    member.leaving = false;
    await this.#publish();
    return true;
  }

  /** One at a time, so that the last list has every change. */
  #publish(): Promise<void> {
    this.#tail = this.#tail.then(() => this.#options.fleet.publishHosts());
    return this.#tail;
  }

  async #cutLink(
    action: ActionOf<"cut-link">,
    forMs: number,
  ): Promise<boolean> {
    const link = this.#options.fleet.getLink(action.viewer, action.target);
    const { mode, direction } = action;
    return this.#cuts.cut([link], { mode, direction }, forMs);
  }

  async #burst(factor: number, forMs: number): Promise<boolean> {
    const { load } = this.#options;
    load.scale(factor);
    await delay(forMs);
    load.scale(1 / factor);
    return true;
  }

  async #slowLink(
    action: ActionOf<"slow-link">,
    forMs: number,
  ): Promise<boolean> {
    const link = this.#options.fleet.getLink(action.viewer, action.target);
    link.delay(action.delayMs);
    await delay(forMs);
    link.delay(0);
    return true;
  }
}
