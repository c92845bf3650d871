/** Injects the planned faults; each one ends its own effect. */

import { delay } from "../testbed/delay.js";
import {
  type CompoundFaultOptions,
  runKillBehindCut,
  runSealOfLiveOwner,
  runStaleEntry,
  runTakeOver,
} from "./compound_faults.js";
import type { FaultInjectorOptions } from "./fault_injector_options.js";
import type { FaultAction, PlannedFault } from "./fault_plan.js";
import { LinkCuts } from "./link_cuts.js";

type ActionOf<K extends FaultAction["kind"]> = FaultAction & { kind: K };

export class FaultInjector {
  readonly #options: FaultInjectorOptions;
  readonly #cuts = new LinkCuts();
  readonly #compoundOptions: CompoundFaultOptions;
  #lastPublish: Promise<void> = Promise.resolve();

  constructor(options: FaultInjectorOptions) {
    this.#options = options;
    this.#compoundOptions = { ...options, cuts: this.#cuts };
  }

  /** Runs the whole plan; resolves when the last effect has ended. */
  async run(plan: readonly PlannedFault[]): Promise<void> {
    const startMs = performance.now();
    await Promise.all(
      plan.map(async (fault) => {
        await delay(startMs + fault.atMs - performance.now());
        const isInjected = await this.#inject(fault.action, fault.durationMs);
        if (!isInjected) return;
        const { kind } = fault.action;
        const memberName = "member" in fault.action ? fault.action.member : "";
        const suffix =
          memberName === "" ? "" : `-${memberName.replace(/-\d+$/, "")}`;
        this.#options.journal.countFault(`${kind}${suffix}`);
      }),
    );
  }

  /** True when the fault had a target to act on. */
  async #inject(action: FaultAction, durationMs: number): Promise<boolean> {
    const { fleet, journal, supervisor } = this.#options;
    switch (action.kind) {
      case "kill":
        return supervisor.kill(fleet.getMember(action.member), durationMs);
      case "stop":
        return supervisor.restart(fleet.getMember(action.member), durationMs);
      case "freeze":
        return supervisor.freeze(fleet.getMember(action.member), durationMs);
      case "leaving":
        return this.#announceLeaving(action.member, durationMs);
      case "cut-link":
        return this.#cutLink(action, durationMs);
      case "slow-link":
        return this.#slowLink(action, durationMs);
      case "cut-data-centre": {
        const links = fleet.listLinksAcross(action.dataCentre);
        return this.#cuts.cut(links, { mode: action.mode }, durationMs);
      }
      case "store-down":
        return this.#controlStandin(
          "store",
          { outage: action.outage },
          durationMs,
          {
            outage: "none",
          },
        );
      case "store-slow":
        return this.#controlStandin(
          "store",
          { delayMs: action.delayMs },
          durationMs,
          {
            delayMs: 0,
          },
        );
      case "store-loses-replies":
        return this.#controlStandin(
          "store",
          { loseReplyShare: action.share },
          durationMs,
          {
            loseReplyShare: 0,
          },
        );
      case "engine-cold": {
        const { endpoint } = action;
        const patch = { turnCold: true, coldStartMs: durationMs };
        const period = journal.startPeriod(journal.colds, endpoint);
        await fleet.control(`back-${endpoint}`, patch);
        await delay(durationMs);
        period.toMs = Date.now();
        return true;
      }
      case "back-end-frozen":
        return this.#controlStandin(
          `back-${action.endpoint}`,
          { frozen: true },
          durationMs,
          { frozen: false },
        );
      case "service-loses-replies":
        return this.#controlStandin(
          `back-${action.endpoint}`,
          { loseReplyShare: 0.3 },
          durationMs,
          { loseReplyShare: 0 },
        );
      case "version-bad":
        return this.#degradeVersion(action.version, durationMs);
      case "ratings-down":
        return this.#controlStandin("ratings", { outage: true }, durationMs, {
          outage: false,
        });
      case "burst":
        return this.#multiplyLoad(action.factor, durationMs);
      case "stale-entry":
        return runStaleEntry(action, this.#compoundOptions, durationMs);
      case "kill-behind-cut":
        return runKillBehindCut(action, this.#compoundOptions, durationMs);
      case "take-over":
        return runTakeOver(action, this.#compoundOptions, durationMs);
      case "seal-live-owner":
        return runSealOfLiveOwner(action, this.#compoundOptions, durationMs);
    }
  }

  async #controlStandin(
    standin: string,
    patch: object,
    durationMs: number,
    undo: object,
  ): Promise<boolean> {
    const { fleet } = this.#options;
    await fleet.control(standin, patch);
    await delay(durationMs);
    await fleet.control(standin, undo);
    return true;
  }

  async #degradeVersion(version: string, durationMs: number): Promise<boolean> {
    const { fleet } = this.#options;
    const engines = fleet.endpointSpecs.filter(
      (item) => item.kind === "engine",
    );
    const controlAll = (patch: object) =>
      Promise.all(
        engines.map(({ name }) => fleet.control(`back-${name}`, patch)),
      );
    await controlAll({ turnBad: version });
    await delay(durationMs);
    await controlAll({ turnGood: version });
    return true;
  }

  async #announceLeaving(name: string, durationMs: number): Promise<boolean> {
    const { fleet, journal } = this.#options;
    const member = fleet.getMember(name);
    if (member.leaving) return false;
    member.leaving = true;
    await this.#publishHosts();
    const period = journal.startPeriod(journal.leavings, name);
    await delay(durationMs);
    // Ends before the host list changes, as a process may read it at once.
    period.toMs = Date.now();
    member.leaving = false;
    await this.#publishHosts();
    return true;
  }

  /** Publishes one list at a time, so that the last one has every change. */
  #publishHosts(): Promise<void> {
    this.#lastPublish = this.#lastPublish.then(() =>
      this.#options.fleet.publishHosts(),
    );
    return this.#lastPublish;
  }

  async #cutLink(
    action: ActionOf<"cut-link">,
    durationMs: number,
  ): Promise<boolean> {
    const link = this.#options.fleet.getLink(
      action.fromDataCentre,
      action.target,
    );
    const { mode, direction } = action;
    return this.#cuts.cut([link], { mode, direction }, durationMs);
  }

  async #multiplyLoad(factor: number, durationMs: number): Promise<boolean> {
    const { loadGenerator } = this.#options;
    loadGenerator.multiplyRate(factor);
    await delay(durationMs);
    loadGenerator.multiplyRate(1 / factor);
    return true;
  }

  async #slowLink(
    action: ActionOf<"slow-link">,
    durationMs: number,
  ): Promise<boolean> {
    const link = this.#options.fleet.getLink(
      action.fromDataCentre,
      action.target,
    );
    link.delay(action.delayMs);
    await delay(durationMs);
    link.delay(0);
    return true;
  }
}
