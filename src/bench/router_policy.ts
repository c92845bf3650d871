/** Routes simulated requests with the real router. */

import {
  applyHold,
  createRefusal,
  Router,
  type RouterAction,
  type RouterEvent,
} from "../core/index.js";
import type { FleetState } from "../schema/index.js";
import {
  type Assumptions,
  createRandom,
  listClassVersions,
} from "./assumptions.js";
import { createEndpointStatus, createFleetState } from "./fleet_state.js";
import type { Job, SimulatedEndpoint } from "./simulated_endpoint.js";
import type { OpenRequest, RoutingPolicy, Simulation } from "./simulation.js";

/** From the acceptance of a ticket or hold to its effect in the entry. */
const CONFIGURATION_DELAY_MS = 1_000;
const TICK_PERIOD_MS = 50;
const STATUS_PERIOD_MS = 1_000;

export class RouterPolicy implements RoutingPolicy {
  readonly usesGate = true;
  readonly #router: Router;
  readonly #endpointsByName = new Map<string, SimulatedEndpoint>();
  #state: FleetState;
  #simulation!: Simulation;

  constructor(assumptions: Assumptions, seed: number) {
    this.#router = new Router({
      random: createRandom(seed + 2_000_003),
      dataCentre: assumptions.dataCentres[0],
      judgeCostPerCall: assumptions.judge.costPerCall,
    });
    this.#state = createFleetState(assumptions);
  }

  start(simulation: Simulation): void {
    this.#simulation = simulation;
    this.#sendState();
    for (const endpoint of simulation.endpoints) {
      this.#endpointsByName.set(endpoint.options.name, endpoint);
      this.#sendStatus(endpoint, 0);
    }
    this.#runEvery(STATUS_PERIOD_MS, () => {
      for (const endpoint of simulation.endpoints) {
        this.#sendStatus(endpoint, simulation.assumptions.loadReportLagMs);
      }
    });
    this.#runEvery(TICK_PERIOD_MS, () => this.#handleEvent({ type: "tick" }));
  }

  #runEvery(periodMs: number, run: () => void): void {
    run();
    if (this.#simulation.isOver) return;
    this.#simulation.scheduleAfter(periodMs, () =>
      this.#runEvery(periodMs, run),
    );
  }

  #sendStatus(endpoint: SimulatedEndpoint, lagMs: number): void {
    const simulation = this.#simulation;
    const status = createEndpointStatus(
      simulation.assumptions,
      endpoint,
      simulation.nowMs,
    );
    simulation.scheduleAfter(lagMs, () =>
      this.#handleEvent({ type: "endpoint-status", status }),
    );
  }

  onStateChanged(): void {
    this.#simulation.scheduleAfter(CONFIGURATION_DELAY_MS, () =>
      this.#sendState(),
    );
  }

  #sendState(): void {
    const { rolloutShares, assumptions, outDataCentres } = this.#simulation;
    const dataCentres: FleetState["dataCentres"] = {};
    for (const name of assumptions.dataCentres) {
      const state = outDataCentres.has(name) ? "out" : "in";
      dataCentres[name] = { name, state };
    }
    const rollouts = Object.fromEntries(
      [...rolloutShares].map(([version, share]) => [
        version,
        { version, share },
      ]),
    );
    const revision = this.#state.revision + 1;
    this.#state = { ...this.#state, revision, dataCentres, rollouts };
    this.#handleEvent({ type: "state", state: this.#state });
  }

  submit({ arrival }: OpenRequest): void {
    const { assumptions } = this.#simulation;
    const { id, atMs, account, className, classSpec, promptTokens } = arrival;
    const isModel = classSpec.kind === "model";
    this.#handleEvent({
      type: "submit",
      request: {
        id,
        account,
        requestClass: className,
        kind: classSpec.kind,
        service: isModel ? "" : className,
        idempotent: classSpec.idempotent,
        priority: classSpec.priority,
        deadlineAtMs:
          atMs + classSpec.deadlineMs - 2 * assumptions.latencyMs.toClients,
        qualityTarget: classSpec.qualityTarget ?? undefined,
        candidates: isModel ? listClassVersions(assumptions, className) : [],
        promptTokens,
      },
    });
  }

  onStarted({ arrival, attempt }: OpenRequest): void {
    this.#handleEvent({ type: "started", requestId: arrival.id, attempt });
  }

  onRefused({ arrival, attempt }: OpenRequest): void {
    const refusal = createRefusal("capacity", "the endpoint is full");
    const requestId = arrival.id;
    this.#handleEvent({ type: "refused", requestId, attempt, refusal });
  }

  onEnded(_: OpenRequest, job: Job, outcome: "completed" | "failed"): void {
    const { requestId, attempt, promptTokens, outputTokens } = job;
    if (outcome === "completed") {
      const type = "completed";
      this.#handleEvent({
        type,
        requestId,
        attempt,
        promptTokens,
        outputTokens,
      });
      return;
    }
    const refusal = createRefusal("engine-failed", "the engine failed");
    const details = { ran: "yes", delivered: false, refusal } as const;
    this.#handleEvent({ type: "failed", requestId, attempt, ...details });
  }

  onRated({ arrival, version }: OpenRequest, isAcceptable: boolean): void {
    this.#handleEvent({
      type: "rated",
      requestClass: arrival.className,
      version,
      accepted: isAcceptable ? 1 : 0,
      rejected: isAcceptable ? 0 : 1,
    });
  }

  #handleEvent(event: RouterEvent): void {
    for (const action of this.#router.handle(event, this.#simulation.nowMs)) {
      this.#applyAction(action);
    }
  }

  #applyAction(action: RouterAction): void {
    const simulation = this.#simulation;
    if (action.type === "hold-version") {
      simulation.results.holdAtMs ??= simulation.nowMs;
      this.#state = applyHold(this.#state, action.version, action.reason);
      this.onStateChanged();
      return;
    }
    const { requestId } = action;
    const request = simulation.openRequests.get(requestId);
    if (action.type === "cancel-attempt") {
      const endpoint = this.#endpointsByName.get(action.endpoint);
      if (endpoint) simulation.cancel(endpoint, requestId, action.attempt);
    } else if (request === undefined) return;
    else if (action.type === "answer") simulation.answer(request);
    else if (action.type === "refuse")
      simulation.openRequests.delete(requestId);
    else if (action.type === "judge") {
      const { attempt } = action;
      simulation.judge(request, (passed) =>
        this.#handleEvent({ type: "judged", requestId, attempt, passed }),
      );
    } else {
      request.attempt = action.attempt;
      request.version = action.version;
      request.endpoint = this.#endpointsByName.get(action.endpoint);
      simulation.send(request);
    }
  }
}
