/** Drives the router under test against the simulated world. */

import {
  applyHold,
  createRefusal,
  Router,
  type RouterAction,
  type RouterEvent,
} from "../core/index.js";
import type { FleetState } from "../schema/index.js";
import type { Engine, Job } from "./engine.js";
import { createFleetState, createStatus } from "./fleet.js";
import {
  type Assumptions,
  createRandom,
  listClassVersions,
} from "./workload.js";
import type { Driver, OpenRequest, World } from "./world.js";

/** Between an accepted ticket or hold and its effect in the entry. */
const CONFIG_DELAY_MS = 1_000;
const TICK_MS = 50;
const STATUS_MS = 1_000;

export class RouterDriver implements Driver {
  readonly gated = true;
  readonly #router: Router;
  readonly #byName = new Map<string, Engine>();
  #state: FleetState;
  #world!: World;

  constructor(assumptions: Assumptions, seed: number) {
    this.#router = new Router({
      random: createRandom(seed + 2_000_003),
      dataCentre: assumptions.dataCentres[0],
      judgeCostPerCall: assumptions.judge.costPerCall,
    });
    this.#state = createFleetState(assumptions);
  }

  start(world: World): void {
    this.#world = world;
    this.#shareState();
    for (const engine of world.engines) {
      this.#byName.set(engine.options.name, engine);
      this.#sendStatus(engine, 0);
    }
    this.#repeat(STATUS_MS, () => {
      for (const engine of world.engines) {
        this.#sendStatus(engine, world.assumptions.loadReportLagMs);
      }
    });
    this.#repeat(TICK_MS, () => this.#feed({ type: "tick" }));
  }

  #repeat(periodMs: number, run: () => void): void {
    run();
    if (this.#world.isOver) return;
    this.#world.after(periodMs, () => this.#repeat(periodMs, run));
  }

  #sendStatus(engine: Engine, lagMs: number): void {
    const world = this.#world;
    const status = createStatus(world.assumptions, engine, world.nowMs);
    world.after(lagMs, () => this.#feed({ type: "endpoint-status", status }));
  }

  onStateChanged(): void {
    this.#world.after(CONFIG_DELAY_MS, () => this.#shareState());
  }

  #shareState(): void {
    const { shares, assumptions, outDataCentres } = this.#world;
    const dataCentres: FleetState["dataCentres"] = {};
    for (const name of assumptions.dataCentres) {
      const state = outDataCentres.has(name) ? "out" : "in";
      dataCentres[name] = { name, state };
    }
    const rollouts = Object.fromEntries(
      [...shares].map(([version, share]) => [version, { version, share }]),
    );
    const revision = this.#state.revision + 1;
    this.#state = { ...this.#state, revision, dataCentres, rollouts };
    this.#feed({ type: "state", state: this.#state });
  }

  submit({ arrival }: OpenRequest): void {
    const { assumptions } = this.#world;
    const { id, atMs, account, className, spec, promptTokens } = arrival;
    const isModel = spec.kind === "model";
    this.#feed({
      type: "submit",
      request: {
        id,
        account,
        requestClass: className,
        kind: spec.kind,
        service: isModel ? "" : className,
        idempotent: spec.idempotent,
        priority: spec.priority,
        deadlineAtMs:
          atMs + spec.deadlineMs - 2 * assumptions.latencyMs.toClients,
        qualityTarget: spec.qualityTarget ?? undefined,
        candidates: isModel ? listClassVersions(assumptions, className) : [],
        promptTokens,
      },
    });
  }

  onStarted({ arrival, attempt }: OpenRequest): void {
    this.#feed({ type: "started", requestId: arrival.id, attempt });
  }

  onRefused({ arrival, attempt }: OpenRequest): void {
    const refusal = createRefusal("capacity", "the endpoint is full");
    const requestId = arrival.id;
    this.#feed({ type: "refused", requestId, attempt, refusal });
  }

  onEnded(_: OpenRequest, job: Job, outcome: "completed" | "failed"): void {
    const { requestId, attempt, promptTokens, outputTokens } = job;
    if (outcome === "completed") {
      const type = "completed";
      this.#feed({ type, requestId, attempt, promptTokens, outputTokens });
      return;
    }
    const refusal = createRefusal("engine-failed", "the engine failed");
    const how = { ran: "yes", delivered: false, refusal } as const;
    this.#feed({ type: "failed", requestId, attempt, ...how });
  }

  onRated({ arrival, version }: OpenRequest, acceptable: boolean): void {
    this.#feed({
      type: "rated",
      requestClass: arrival.className,
      version,
      accepted: acceptable ? 1 : 0,
      rejected: acceptable ? 0 : 1,
    });
  }

  #feed(event: RouterEvent): void {
    for (const action of this.#router.handle(event, this.#world.nowMs)) {
      this.#perform(action);
    }
  }

  #perform(action: RouterAction): void {
    const world = this.#world;
    if (action.type === "hold-version") {
      world.results.holdAtMs ??= world.nowMs;
      this.#state = applyHold(this.#state, action.version, action.reason);
      this.onStateChanged();
      return;
    }
    const { requestId } = action;
    const open = world.open.get(requestId);
    if (action.type === "cancel-attempt") {
      const engine = this.#byName.get(action.endpoint);
      if (engine) world.cancel(engine, requestId, action.attempt);
    } else if (open === undefined) return;
    else if (action.type === "answer") world.answer(open);
    else if (action.type === "refuse") world.open.delete(requestId);
    else if (action.type === "judge") {
      const { attempt } = action;
      world.judge(open, (passed) =>
        this.#feed({ type: "judged", requestId, attempt, passed }),
      );
    } else {
      open.attempt = action.attempt;
      open.version = action.version;
      open.engine = this.#byName.get(action.endpoint);
      world.send(open);
    }
  }
}
