/** The gate's checks of a dispatch: its fields, permissions and epoch. */

import type { DispatchRequest, FleetState, Priority } from "../schema/index.js";
import type { Attempt, GateRequest } from "./attempt_registry.js";
import { assertInvariant, createRefusal, type Refusal } from "./errors.js";
import {
  checkPermission,
  isDataCentreOut,
  isEndpointOut,
} from "./fleet_state.js";

/** What the gate needs to know of the configuration. */
export interface GateView {
  /** The highest revision that this process knows. */
  readonly state: FleetState;
  /** Refuses when the last confirmation is older than the bound. */
  checkFreshness(): Refusal | undefined;
}

export const PRIORITIES = ["urgent", "interactive", "batch"] as const;

const MAX_NAME_LENGTH = 256;
const MAX_PATH_LENGTH = 8_192;
/** Longest deadline that a dispatch may carry. */
const MAX_REMAINING_MS = 3_600_000;
/**
 * Retry delay while the endpoint or its data centre takes no new work: time to
 * bring it back or for the entry to choose another endpoint.
 */
const OUT_RETRY_MS = 5_000;

function isPriority(text: string): text is Priority {
  return (PRIORITIES as readonly string[]).includes(text);
}

/** Name of the first field that is out of its range. */
function findInvalidField(
  request: DispatchRequest,
  maxBodyBytes: number,
): string | undefined {
  const names = [
    ["requestId", request.requestId],
    ["entry", request.entry],
    ["account", request.account],
    ["requestClass", request.requestClass],
    ["version", request.version],
    ["service", request.service],
    ["method", request.method],
    ["epoch", request.epoch],
    ["claim", request.claim],
    ["session", request.session],
  ] as const;
  const tooLong = names.find(([, value]) => value.length > MAX_NAME_LENGTH);
  if (tooLong !== undefined) return tooLong[0];
  if (request.path.length > MAX_PATH_LENGTH) return "path";
  if (request.requestId === "") return "requestId";
  if (request.account === "") return "account";
  if ((request.version === "") === (request.service === "")) return "version";
  if (!isPriority(request.priority)) return "priority";
  if (request.body.length > maxBodyBytes) return "body";
  if (request.remainingMs > MAX_REMAINING_MS) return "remainingMs";
  if (request.service !== "" && !/^[A-Z]{1,16}$/.test(request.method)) {
    return "method";
  }
  if (request.service !== "" && !/^\/[\x21-\x7e]*$/.test(request.path)) {
    return "path";
  }
  return undefined;
}

/** Checks the range of each field before the dispatch is used further. */
export function parseDispatch(
  request: DispatchRequest,
  maxBodyBytes: number,
): GateRequest | Refusal {
  const field = findInvalidField(request, maxBodyBytes);
  if (field === "body") {
    return createRefusal(
      "body-too-large",
      `Body has ${request.body.length} bytes, expected at most ${maxBodyBytes}`,
    );
  }
  if (field !== undefined || !isPriority(request.priority)) {
    return createRefusal("bad-request", `Field "${field}" is out of its range`);
  }
  const { body: _body, ...rest } = request;
  return { ...rest, priority: request.priority };
}

/** True only when both the dispatch and the fleet state say so. */
export function isIdempotent(request: GateRequest, state: FleetState): boolean {
  if (!request.idempotent) return false;
  if (request.service === "") return true;
  return (
    Object.hasOwn(state.services, request.service) &&
    state.services[request.service]?.idempotent === true
  );
}

/** What the gate knows of its own endpoint. */
export interface LocalState {
  readonly endpoint: string;
  readonly dataCentre: string;
  readonly epoch: string;
  /** Why the endpoint takes no new work; `undefined` while it does. */
  readonly leaving: "draining" | "stopping" | undefined;
  /** Versions that the engine has loaded, or services behind the endpoint. */
  readonly served: ReadonlySet<string>;
}

function checkLocalState(
  localState: LocalState,
  state: FleetState,
): Refusal | undefined {
  const options = { retryAfterMs: OUT_RETRY_MS };
  if (localState.leaving !== undefined) {
    const detail = `Endpoint "${localState.endpoint}" is leaving`;
    return createRefusal(localState.leaving, detail, options);
  }
  if (isDataCentreOut(state, localState.dataCentre)) {
    const detail = `Data centre "${localState.dataCentre}" is out`;
    return createRefusal("draining", detail, options);
  }
  if (isEndpointOut(state, localState.endpoint)) {
    const detail = `Endpoint "${localState.endpoint}" is out`;
    return createRefusal("draining", detail, options);
  }
  return undefined;
}

function checkClaim(
  attempt: Attempt,
  localState: LocalState,
): Refusal | undefined {
  if (attempt.idempotent) return undefined;
  const { request } = attempt;
  if (request.epoch !== localState.epoch) {
    return createRefusal(
      "wrong-epoch",
      `Epoch is "${localState.epoch}", the dispatch has "${request.epoch}"`,
    );
  }
  if (request.claim === "") {
    return createRefusal(
      "idempotency-key-required",
      `Service "${request.service}" is not idempotent, and the dispatch has no claim`,
    );
  }
  return undefined;
}

/** Checks every rule that must hold when an attempt starts. */
export function checkAttempt(
  attempt: Attempt,
  localState: LocalState,
  view: GateView,
): Refusal | undefined {
  const { request } = attempt;
  const { state } = view;
  const refusal =
    view.checkFreshness() ??
    checkLocalState(localState, state) ??
    checkPermission(state, request) ??
    checkClaim(attempt, localState);
  if (refusal !== undefined) return refusal;
  const name = request.service === "" ? request.version : request.service;
  if (localState.served.has(name)) return undefined;
  return createRefusal(
    "no-endpoint",
    `Endpoint "${localState.endpoint}" does not serve "${name}" now`,
  );
}

/**
 * Asserts the gate's guarantees when an attempt starts. It reads the state
 * itself and does not call the checks, so that it reveals a bug in them.
 */
export function assertMayStart(
  attempt: Attempt,
  localState: LocalState,
  view: GateView,
): void {
  const { state } = view;
  const { request, key } = attempt;
  const account = Object.hasOwn(state.accounts, request.account)
    ? state.accounts[request.account]
    : undefined;
  const isModel = request.service === "";
  const isAllowed = isModel
    ? account?.versions.includes(request.version)
    : account?.services.includes(request.service);
  assertInvariant(
    isAllowed === true,
    "notAllowed",
    `account "${request.account}" starts "${key}" without permission`,
  );
  assertInvariant(
    !isModel || state.versions[request.version]?.state === "active",
    "withdrawnServed",
    `version "${request.version}" is not active, attempt "${key}"`,
  );
  assertInvariant(
    state.dataCentres[localState.dataCentre]?.state !== "out",
    "drainedDataCentreServed",
    `data centre "${localState.dataCentre}" is out, attempt "${key}"`,
  );
  assertInvariant(
    localState.leaving === undefined &&
      state.endpoints[localState.endpoint]?.state !== "out",
    "leavingEndpointServed",
    `endpoint "${localState.endpoint}" is leaving or out, attempt "${key}"`,
  );
  assertInvariant(
    attempt.idempotent || request.epoch === localState.epoch,
    "ranTwice",
    `attempt "${key}" has epoch "${request.epoch}"`,
  );
}
