/** Look-ups on the fleet state, shared by the entry and the endpoint. */

import type {
  ClientAccount,
  FleetState,
  PlainService,
  RequestClass,
} from "../schema/index.js";
import { createRefusal, type Refusal } from "./errors.js";

/** The state before the first ticket: nothing is allowed. */
export function createEmptyState(): FleetState {
  return {
    revision: 0,
    accounts: {},
    versions: {},
    classes: {},
    services: {},
    rollouts: {},
    dataCentres: {},
    endpoints: {},
    holds: {},
    subjects: {},
    tickets: [],
  };
}

export function findAccountByKey(
  state: FleetState,
  apiKeySha256: string,
): ClientAccount | undefined {
  return Object.values(state.accounts).find((account) =>
    account.apiKeySha256.includes(apiKeySha256),
  );
}

export function findClass(
  state: FleetState,
  account: ClientAccount,
  name: string | undefined,
): RequestClass | undefined {
  const className = name ?? account.classes[0];
  if (className === undefined || !account.classes.includes(className)) {
    return undefined;
  }
  return state.classes[className];
}

/** Active versions that the account may use for the class. */
export function listAllowedVersions(
  state: FleetState,
  account: ClientAccount,
  requestClass: RequestClass,
): string[] {
  return account.versions.filter(
    (name) =>
      state.versions[name]?.state === "active" &&
      (requestClass.versions?.includes(name) ?? true),
  );
}

export function isDataCentreOut(state: FleetState, name: string): boolean {
  return state.dataCentres[name]?.state === "out";
}

export function isEndpointOut(state: FleetState, name: string): boolean {
  return state.endpoints[name]?.state === "out";
}

export function findService(
  state: FleetState,
  account: ClientAccount,
  name: string,
): PlainService | undefined {
  return account.services.includes(name) ? state.services[name] : undefined;
}

/** Ignores inherited properties: a message may contain "constructor". */
function findOwnProperty<Value>(
  collection: Record<string, Value>,
  name: string,
): Value | undefined {
  return Object.hasOwn(collection, name) ? collection[name] : undefined;
}

/** What the entry and the endpoint check before a request may start. */
export interface PermissionRequest {
  account: string;
  version: string;
  service: string;
}

/** Refuses a version or service that the account may not use now. */
export function checkPermission(
  state: FleetState,
  request: PermissionRequest,
): Refusal | undefined {
  const account = findOwnProperty(state.accounts, request.account);
  if (account === undefined) {
    return createRefusal(
      "not-allowed",
      `account "${request.account}" does not exist`,
    );
  }
  if (request.service !== "") {
    if (findService(state, account, request.service) !== undefined) return;
    return createRefusal(
      "not-allowed",
      `account "${account.name}" may not call service "${request.service}"`,
    );
  }
  if (!account.versions.includes(request.version)) {
    return createRefusal(
      "not-allowed",
      `account "${account.name}" may not use version "${request.version}"`,
    );
  }
  if (findOwnProperty(state.versions, request.version)?.state === "active")
    return;
  return createRefusal(
    "version-withdrawn",
    `version "${request.version}" is withdrawn`,
  );
}
