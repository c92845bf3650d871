/** Simulates a fleet: endpoints, events, billing, judge and ratings. */

import { match } from "ts-pattern";
import {
  type Arrival,
  type Assumptions,
  type BenchEvent,
  createRandom,
  listClassVersions,
} from "./assumptions.js";
import { Results } from "./results.js";
import { type Job, SimulatedEndpoint } from "./simulated_endpoint.js";
import { Timeline } from "./timeline.js";

/** A request without an answer yet, with its latest attempt. */
export interface OpenRequest {
  arrival: Arrival;
  attempt: number;
  endpoint?: SimulatedEndpoint;
  version: string;
  triedEndpoints: SimulatedEndpoint[];
}

/** Decides where requests go; the simulation calls it. */
export interface RoutingPolicy {
  /** True when each endpoint has a gate. */
  readonly usesGate: boolean;
  start(simulation: Simulation): void;
  submit(request: OpenRequest): void;
  onStarted(request: OpenRequest): void;
  onRefused(request: OpenRequest): void;
  onEnded(
    request: OpenRequest,
    job: Job,
    outcome: "completed" | "failed",
  ): void;
  /** A roll-out share or a data centre's state was changed. */
  onStateChanged(): void;
  onRated(request: OpenRequest, isAcceptable: boolean): void;
}

/** Interval at which a roll-out's share rises. */
const ROLLOUT_STEP_MS = 30_000;

export class Simulation {
  readonly assumptions: Assumptions;
  readonly timeline = new Timeline();
  readonly results: Results;
  readonly endpoints: SimulatedEndpoint[] = [];
  readonly openRequests = new Map<string, OpenRequest>();
  readonly random: () => number;
  /** Share of requests that its roll-out allows a version now. */
  readonly rolloutShares = new Map<string, number>();
  readonly outDataCentres = new Set<string>();
  /** Factor on the acceptable share of each version that turned bad. */
  readonly #shareFactors = new Map<string, number>();
  readonly #policy: RoutingPolicy;

  constructor(
    assumptions: Assumptions,
    options: { seed: number; requestsPerSecond: number; policy: RoutingPolicy },
  ) {
    this.assumptions = assumptions;
    this.results = new Results(assumptions, options.requestsPerSecond);
    this.random = createRandom(options.seed + 1_000_003);
    this.#policy = options.policy;
    this.#createEndpoints();
    for (const event of assumptions.events) {
      if (event.kind === "rollout")
        this.rolloutShares.set(event.version ?? "", 0);
      if (event.atMs > assumptions.seconds * 1000) continue;
      this.timeline.schedule(event.atMs, () => this.#applyEvent(event));
    }
  }

  get nowMs(): number {
    return this.timeline.nowMs;
  }

  get isOver(): boolean {
    const endMs = this.assumptions.seconds * 1000;
    return this.nowMs >= endMs && this.openRequests.size === 0;
  }

  scheduleAfter(delayMs: number, run: () => void): void {
    this.timeline.schedule(this.nowMs + delayMs, run);
  }

  acceptArrival(arrival: Arrival): void {
    this.results.recordArrival(arrival);
    if (arrival.classSpec.kind === "model") {
      const versions = listClassVersions(this.assumptions, arrival.className);
      for (const version of this.#shareFactors.keys()) {
        if (!versions.includes(version)) continue;
        this.results.expectedBadVersionRequests +=
          this.rolloutShares.get(version) ?? 0;
      }
    }
    const request = { arrival, attempt: 0, version: "", triedEndpoints: [] };
    this.openRequests.set(arrival.id, request);
    this.#policy.submit(request);
  }

  #createEndpoints(): void {
    const { modelReplicas, serviceReplicas } = this.assumptions;
    for (const replicaSpec of [...modelReplicas, ...serviceReplicas]) {
      for (let i = 0; i < replicaSpec.count; i++) {
        const endpoint: SimulatedEndpoint = new SimulatedEndpoint({
          name: `endpoint-${this.endpoints.length + 1}`,
          replicaSpec,
          hasGate: this.#policy.usesGate,
          schedule: (atMs, run) => this.timeline.schedule(atMs, run),
          onStart: (job) => {
            this.#notifyPolicy(endpoint, job, (request) =>
              this.#policy.onStarted(request),
            );
          },
          onEnd: (job, outcome) => {
            this.billTokens(job);
            this.#notifyPolicy(endpoint, job, (request) =>
              this.#policy.onEnded(request, job, outcome),
            );
          },
        });
        this.endpoints.push(endpoint);
      }
    }
  }

  /** Tells the policy of the latest attempt, after the network latency. */
  #notifyPolicy(
    endpoint: SimulatedEndpoint,
    job: Job,
    notify: (request: OpenRequest) => void,
  ): void {
    this.scheduleAfter(this.getEntryLatencyMs(endpoint), () => {
      const request = this.openRequests.get(job.requestId);
      if (request?.attempt === job.attempt) notify(request);
    });
  }

  #applyEvent(event: BenchEvent): void {
    const { version = "", dataCentre = "" } = event;
    const endpointsInDataCentre = this.endpoints.filter(
      (endpoint) => endpoint.options.replicaSpec.dataCentre === dataCentre,
    );
    match(event.kind)
      .with("rollout", () => this.#advanceRollout(event))
      .with("versionTurnsBad", () => {
        this.#shareFactors.set(version, event.acceptableShareFactor ?? 1);
      })
      .with("endpointTurnsCold", () =>
        endpointsInDataCentre[0]?.turnCold(this.nowMs),
      )
      .with("dataCentreOut", () => {
        this.outDataCentres.add(dataCentre);
        for (const endpoint of endpointsInDataCentre)
          endpoint.isDataCentreOut = true;
        this.#policy.onStateChanged();
      })
      .with("dataCentreBack", () => {
        this.outDataCentres.delete(dataCentre);
        for (const endpoint of endpointsInDataCentre) {
          endpoint.isDataCentreOut = false;
          // Endpoints are stopped while their data centre is out, so they
          // return cold.
          endpoint.turnCold(this.nowMs);
        }
        this.#policy.onStateChanged();
      })
      .with("capacityFactor", () => {
        for (const endpoint of this.endpoints) {
          endpoint.setSpeed(event.factor ?? 1, this.nowMs);
        }
      })
      .otherwise((kind) => {
        throw new RangeError(`Unknown event kind "${kind}"`);
      });
  }

  #advanceRollout(event: BenchEvent): void {
    const { version = "", fromShare = 0, toShare = 1, overMs = 1 } = event;
    const doneShare = Math.min(1, (this.nowMs - event.atMs) / overMs);
    this.rolloutShares.set(
      version,
      fromShare + (toShare - fromShare) * doneShare,
    );
    this.#policy.onStateChanged();
    if (doneShare < 1)
      this.scheduleAfter(ROLLOUT_STEP_MS, () => this.#advanceRollout(event));
  }

  /** Latency between the entry and the endpoint. */
  getEntryLatencyMs(endpoint: SimulatedEndpoint): number {
    const { dataCentres, latencyMs, betweenRegionsMs } = this.assumptions;
    // The entry is in the first data centre.
    const [entryDataCentre = ""] = dataCentres;
    const { dataCentre } = endpoint.options.replicaSpec;
    if (dataCentre === entryDataCentre) return 0;
    return betweenRegionsMs === undefined ||
      dataCentre[0] === entryDataCentre[0]
      ? latencyMs.betweenDataCentres
      : betweenRegionsMs;
  }

  /** Sends the request's latest attempt to its endpoint. */
  send(request: OpenRequest): void {
    const { arrival, endpoint, version, attempt } = request;
    if (endpoint === undefined) return;
    this.results.attempts++;
    if (this.#shareFactors.has(version)) this.results.badVersionRequests++;
    const versionSpec = this.assumptions.versions[version];
    const meanServiceMs =
      this.assumptions.serviceTimeMs[arrival.className] ?? 0;
    const decodeMs = versionSpec
      ? (arrival.outputTokens / versionSpec.decodeTokensPerSecondPerSlot) * 1000
      : meanServiceMs * arrival.serviceTimeFactor;
    const job: Job = {
      requestId: arrival.id,
      attempt,
      version,
      priority: arrival.classSpec.priority,
      promptTokens: versionSpec ? arrival.promptTokens : 0,
      outputTokens: versionSpec ? arrival.outputTokens : 0,
      prefillLeftMs: versionSpec
        ? (arrival.promptTokens / versionSpec.prefillTokensPerSecond) * 1000
        : 0,
      decodeLeftMs: decodeMs,
      decodeTotalMs: decodeMs,
    };
    this.scheduleAfter(this.getEntryLatencyMs(endpoint), () => {
      if (endpoint.submit(job, this.nowMs)) return;
      this.#notifyPolicy(endpoint, job, (openRequest) =>
        this.#policy.onRefused(openRequest),
      );
    });
  }

  cancel(
    endpoint: SimulatedEndpoint,
    requestId: string,
    attempt: number,
  ): void {
    this.scheduleAfter(this.getEntryLatencyMs(endpoint), () => {
      const job = endpoint.cancel(requestId, attempt, this.nowMs);
      if (job !== undefined) this.billTokens(job);
    });
  }

  /** Bills the tokens that the attempt used, whether or not it completed. */
  billTokens(job: Job): void {
    const versionSpec = this.assumptions.versions[job.version];
    const billedPromptTokens = job.prefillLeftMs > 0 ? 0 : job.promptTokens;
    const decodedShare = 1 - Math.max(0, job.decodeLeftMs) / job.decodeTotalMs;
    const tokens = billedPromptTokens + decodedShare * job.outputTokens;
    this.results.cost += (tokens / 1000) * (versionSpec?.costPerKiloToken ?? 0);
  }

  #isAcceptable({ arrival, version }: OpenRequest): boolean {
    const versionSpec = this.assumptions.versions[version];
    const share = versionSpec?.acceptableShare[arrival.className];
    if (share === undefined) return true;
    return arrival.difficulty < share * (this.#shareFactors.get(version) ?? 1);
  }

  judge(request: OpenRequest, onJudged: (passed: boolean) => void): void {
    const { judge } = this.assumptions;
    this.results.cost += judge.costPerCall;
    const isAcceptable = this.#isAcceptable(request);
    const passProbability = isAcceptable
      ? judge.sensitivity
      : 1 - judge.specificity;
    const passed = this.random() < passProbability;
    this.scheduleAfter(judge.latencyMs, () => onJudged(passed));
  }

  answer(request: OpenRequest): void {
    const { arrival } = request;
    if (!this.openRequests.delete(arrival.id)) return;
    const isAcceptable = this.#isAcceptable(request);
    const { latencyMs, ratings } = this.assumptions;
    this.results.recordAnswer(arrival, {
      isAcceptable,
      latencyMs: this.nowMs - arrival.atMs + 2 * latencyMs.toClients,
    });
    if (arrival.classSpec.kind === "service") return;
    const ratedShare = ratings.shareRated * (1 - ratings.lostShare);
    if (this.random() >= ratedShare) return;
    this.scheduleAfter(ratings.lagMs, () =>
      this.#policy.onRated(request, isAcceptable),
    );
  }
}
