/** A fleet state, dispatches and a gate for the tests of the gate. */

import type {
  DispatchRequest,
  FleetState,
  ModelVersion,
} from "../schema/index.js";
import type { AttemptRegistryLimits } from "./attempt_registry.js";
import { createRefusal, type Refusal } from "./errors.js";
import { createEmptyState } from "./fleet_state.js";
import { Gate } from "./gate.js";
import type { GateDecision } from "./gate_events.js";

export function createVersion(
  name: string,
  state: ModelVersion["state"] = "active",
): ModelVersion {
  return { name, model: "small", state, costPerKiloToken: 1 };
}

function createAccount(name: string, versions: string[], weight = 1) {
  return {
    name,
    apiKeySha256: ["0".repeat(64)],
    versions,
    services: ["orders", "stock"],
    classes: [],
    weight,
  };
}

/** Revision 5 with two accounts, two versions and a non-idempotent service. */
export function createTestState(): FleetState {
  return {
    ...createEmptyState(),
    revision: 5,
    accounts: {
      pumps: createAccount("pumps", ["small-1", "small-2"]),
      ropes: createAccount("ropes", ["small-1"]),
    },
    versions: {
      "small-1": createVersion("small-1"),
      "small-2": createVersion("small-2"),
    },
    services: {
      orders: {
        name: "orders",
        idempotent: false,
        priority: "urgent",
        deadlineMs: 5_000,
      },
      stock: {
        name: "stock",
        idempotent: true,
        priority: "urgent",
        deadlineMs: 5_000,
      },
    },
  };
}

export function createDispatch(
  fields: Partial<DispatchRequest>,
): DispatchRequest {
  return {
    requestId: "r1",
    attempt: 1,
    entry: "e1",
    account: "pumps",
    requestClass: "chat",
    version: "small-1",
    service: "",
    method: "",
    path: "",
    body: Buffer.from("{}"),
    revision: 5,
    remainingMs: 5_000,
    priority: "interactive",
    idempotent: true,
    epoch: "",
    claim: "",
    session: "",
    contentType: "application/json",
    idempotencyKey: "",
    ...fields,
  };
}

/** Fields of a non-idempotent call. */
export const NON_IDEMPOTENT_CALL: Partial<DispatchRequest> = {
  requestId: "o1",
  version: "",
  service: "orders",
  method: "POST",
  path: "/orders",
  idempotent: false,
  claim: "claims/pumps/k1",
};

export const COMPLETED = {
  kind: "completed",
  status: 200,
  promptTokens: 5,
  outputTokens: 100,
  body: new Uint8Array(),
  contentType: "",
} as const;

export const FAILED = {
  kind: "failed",
  refusal: createRefusal("engine-failed", "Engine failed"),
  isEngineFault: true,
} as const;

interface TestGateOptions {
  kind?: "model" | "service";
  services?: string[];
  slots?: number;
  slotsWhileCold?: number;
  registryLimits?: AttemptRegistryLimits;
}

export function createTestGate(options: TestGateOptions = {}) {
  const slots = options.slots ?? 4;
  const kind = options.kind ?? "model";
  const view = {
    state: createTestState(),
    refusal: undefined as Refusal | undefined,
    checkFreshness: () => view.refusal,
  };
  let epochCount = 0;
  const gate = new Gate({
    endpoint: "ep1",
    dataCentre: "dc1",
    kind,
    services: options.services ?? (kind === "service" ? ["orders"] : []),
    slots,
    slotsWhileCold: options.slotsWhileCold ?? slots,
    maxBodyBytes: 1_000,
    createEpoch: () => {
      epochCount += 1;
      return `epoch-${epochCount}`;
    },
    view,
    registryLimits: options.registryLimits,
  });
  // The gate's rules are the same for both kinds, so one gate can serve both.
  const versions = ["small-1", "small-2", ...(options.services ?? [])];
  const report = { startId: "s1", cold: false, versions };
  gate.handle({ type: "report", report }, 0);
  const dispatch = (fields: Partial<DispatchRequest>, nowMs = 0) =>
    gate.handle({ type: "dispatch", request: createDispatch(fields) }, nowMs);
  const tick = (nowMs: number) => gate.handle({ type: "tick" }, nowMs);
  /** Lets time pass without a pause of the process. */
  const advance = (toMs: number) => {
    for (let nowMs = 0; nowMs <= toMs; nowMs += 50) tick(nowMs);
  };
  const finish = (
    key: string,
    nowMs: number,
    outcome: typeof COMPLETED | typeof FAILED = COMPLETED,
  ) => gate.handle({ type: "finished", key, outcome }, nowMs);
  return { gate, view, report, dispatch, tick, advance, finish };
}

/** The refusal code of an attempt, or the type of its first decision. */
export function describeDecision(
  decisions: GateDecision[],
  key = "r1/1",
): string {
  for (const decision of decisions) {
    if (decision.type === "reject") return decision.refusal.code;
    if (decision.key !== key) continue;
    if (decision.type !== "frame") return decision.type;
    return decision.frame.refusal?.code ?? "end";
  }
  return "none";
}

export function listStarts(decisions: GateDecision[]): string[] {
  return decisions.flatMap((d) => (d.type === "start" ? [d.key] : []));
}
