/** Creates the receipts by which requests are billed. */

import type { FleetState, Receipt, ReceiptStep } from "../schema/index.js";
import type { PendingRequest } from "./pending_request.js";

const TOKENS_PER_KILO_TOKEN = 1_000;

/** What one step used and where it ran; `version` or `service` is empty. */
export interface StepUsage {
  readonly version: string;
  readonly service: string;
  readonly endpoint: string;
  readonly dataCentre: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

function computeCost(usage: StepUsage, state: FleetState): number {
  const { service, version, promptTokens, outputTokens } = usage;
  if (service !== "") return state.services[service]?.costPerCall ?? 0;
  const price = state.versions[version]?.costPerKiloToken ?? 0;
  return ((promptTokens + outputTokens) / TOKENS_PER_KILO_TOKEN) * price;
}

export function createReceiptStep(
  usage: StepUsage,
  state: FleetState,
): ReceiptStep {
  const { version, service, ...rest } = usage;
  const cost = computeCost(usage, state);
  return service === ""
    ? { version, ...rest, cost }
    : { service, ...rest, cost };
}

/** Creates one receipt for all steps that ran, cascade steps included. */
export function createReceipt(
  pending: Pick<PendingRequest, "route" | "steps">,
  atMs: number,
): Receipt {
  const { route, steps } = pending;
  return {
    requestId: route.id,
    account: route.account,
    requestClass: route.requestClass,
    steps,
    cost: steps.reduce((sum, step) => sum + step.cost, 0),
    atMs,
  };
}
