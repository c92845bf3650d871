/** Baseline policies: one version, one endpoint, one retry, no cascade. */

import type { Engine, Job } from "./engine.js";
import { type Arrival, listClassVersions } from "./workload.js";
import type { Driver, OpenRequest, World } from "./world.js";

export const BASELINES = [
  "cheapest",
  "best",
  "random",
  "round-robin",
  "least-loaded",
] as const;

export type BaselineName = (typeof BASELINES)[number];

/** Attempts of an idempotent request. */
const MAX_ATTEMPTS = 2;

export class BaselineDriver implements Driver {
  readonly gated = false;
  readonly #name: BaselineName;
  readonly #outstanding = new Map<Engine, number>();
  #world!: World;
  #turn = 0;

  constructor(name: BaselineName) {
    this.#name = name;
  }

  start(world: World): void {
    this.#world = world;
  }

  onStateChanged(): void {}
  onStarted(): void {}
  onRefused(): void {}
  onRated(): void {}

  submit(open: OpenRequest): void {
    const { id, atMs, spec } = open.arrival;
    this.#send(open);
    this.#world.timeline.schedule(atMs + spec.deadlineMs, () => {
      if (!this.#world.open.delete(id) || open.engine === undefined) return;
      this.#addOutstanding(open.engine, -1);
      this.#world.cancel(open.engine, id, open.attempt);
    });
  }

  onEnded(open: OpenRequest, _: Job, outcome: "completed" | "failed"): void {
    if (open.engine === undefined) return;
    this.#addOutstanding(open.engine, -1);
    if (outcome === "completed") {
      this.#world.answer(open);
      return;
    }
    open.tried.push(open.engine);
    open.engine = undefined;
    if (open.attempt >= MAX_ATTEMPTS || !open.arrival.spec.idempotent) {
      this.#world.open.delete(open.arrival.id);
    } else this.#send(open);
  }

  #send(open: OpenRequest): void {
    const choice = this.#choose(open.arrival, open.tried);
    if (choice?.engine === undefined) {
      this.#world.open.delete(open.arrival.id);
      return;
    }
    open.attempt++;
    open.engine = choice.engine;
    open.version = choice.version;
    this.#addOutstanding(choice.engine, 1);
    this.#world.send(open);
  }

  #addOutstanding(engine: Engine, change: number): void {
    const before = this.#outstanding.get(engine) ?? 0;
    this.#outstanding.set(engine, before + change);
  }

  #pickLeastLoaded(engines: readonly Engine[]): Engine | undefined {
    const getUse = (engine: Engine) =>
      (this.#outstanding.get(engine) ?? 0) / engine.options.spec.slots;
    return engines.toSorted((a, b) => getUse(a) - getUse(b))[0];
  }

  #pickOne<T>(list: readonly T[]): T | undefined {
    return list[Math.floor(this.#world.random() * list.length)];
  }

  #pickEngine(engines: readonly Engine[]): Engine | undefined {
    if (this.#name === "random") return this.#pickOne(engines);
    if (this.#name !== "round-robin") return this.#pickLeastLoaded(engines);
    return engines[this.#turn++ % engines.length];
  }

  #choose(arrival: Arrival, tried: readonly Engine[]) {
    const { engines, assumptions, shares, random } = this.#world;
    const usable = engines.filter(
      (engine) => !engine.dataCentreOut && !tried.includes(engine),
    );
    const serve = (version: string) =>
      usable.filter((e) => e.options.spec.versions.includes(version));
    if (arrival.spec.kind === "service") {
      const services = usable.filter((e) => e.options.spec.versions.length < 1);
      return { engine: this.#pickEngine(services), version: "" };
    }
    const getCost = (version: string) =>
      assumptions.versions[version]?.costPerKiloToken ?? 0;
    const versions = listClassVersions(assumptions, arrival.className)
      .filter((version) => random() < (shares.get(version) ?? 1))
      .filter((version) => serve(version).length > 0)
      .toSorted((a, b) => getCost(a) - getCost(b));
    if (this.#name === "cheapest" || this.#name === "best") {
      const version = versions.at(this.#name === "best" ? -1 : 0) ?? "";
      return { engine: this.#pickLeastLoaded(serve(version)), version };
    }
    const able = usable.filter((engine) =>
      engine.options.spec.versions.some((v) => versions.includes(v)),
    );
    const engine = this.#pickEngine(able);
    const loaded = versions.filter((v) =>
      engine?.options.spec.versions.includes(v),
    );
    return { engine, version: this.#pickOne(loaded) ?? "" };
  }
}
