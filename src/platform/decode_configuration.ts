/** Decodes the stored configuration, roll-out orders and endpoint records. */

import { err, ok, type Result } from "neverthrow";
import {
  type ClientAccount,
  type Configuration,
  type EndpointRecord,
  RETRY_POLICY,
  type RetryPolicy,
  ROLLOUT_OUTCOME,
  type RolloutOrder,
  type RolloutOutcome,
  type Route,
  type Service,
  type ServiceShare,
} from "../proxy/index.js";
import { createDecodeFailure, type DecodeFailure } from "./failures.js";
import {
  type Fields,
  getCount,
  getFields,
  getList,
  getNumber,
  getText,
  getTexts,
  isFields,
} from "./fields.js";
import { parseAddress } from "./parse_address.js";
import type { StoredObject } from "./store_client.js";

const MS_PER_SECOND = 1_000;
/** Defaults of limits that a configuration leaves out. */
const DEFAULT_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  idleTimeoutMs: 15_000,
  headerTimeoutMs: 3_000,
} as const;
/** Rank of a route without a priority: the least urgent on the platform. */
const DEFAULT_RANK = 9;
/** Target event gap of a route that names none, ms. */
const DEFAULT_TARGET_EVENT_GAP_MS = 1_000;
/** Target answer time of a route that names none, ms. */
const DEFAULT_TARGET_MS = 1_000;
/** Time limit for the answer of a route that names none, ms. */
const DEFAULT_TIMEOUT_MS = 30_000;

export interface DecodedConfiguration {
  readonly configuration: Configuration;
  /** Reasons why invalid parts were left out, one for each part. */
  readonly skipReasons: readonly string[];
}

function decodeShares(fields: Fields): ServiceShare[] {
  const service = getText(fields, "service");
  const split = getList(fields, "traffic_split")
    .filter(isFields)
    .map((item) => ({
      service: getText(item, "service") ?? "",
      weight: getNumber(item, "weight") ?? 0,
    }))
    .filter((item) => item.service !== "" && item.weight > 0);
  if (split.length > 0) return split;
  return service === undefined ? [] : [{ service, weight: 1 }];
}

/**
 * `kind` says whether a request may be retried. A stream that is `resumable`
 * may continue at another endpoint.
 */
function decodeRetryPolicy(fields: Fields): RetryPolicy | undefined {
  switch (getText(fields, "kind")) {
    case "safe":
      return RETRY_POLICY.freely;
    case "unsafe":
      return RETRY_POLICY.once;
    case "streaming":
      return fields.resumable === true
        ? RETRY_POLICY.resume
        : RETRY_POLICY.once;
    default:
      return undefined;
  }
}

function decodeRoute(value: unknown): Result<Route, DecodeFailure> {
  if (!isFields(value))
    return err(createDecodeFailure("route is not an object"));
  const name = getText(value, "name") ?? "?";
  const host = getText(value, "host");
  const prefix = getText(value, "prefix");
  const retryPolicy = decodeRetryPolicy(value);
  const services = decodeShares(value);
  if (host === undefined || prefix === undefined) {
    return err(createDecodeFailure(`route ${name} has no host or prefix`));
  }
  if (retryPolicy === undefined) {
    return err(createDecodeFailure(`route ${name} has an unknown kind`));
  }
  if (services.length === 0) {
    return err(createDecodeFailure(`route ${name} names no service`));
  }
  return ok({
    name,
    host,
    prefix,
    retryPolicy,
    services,
    isStream: getText(value, "kind") === "streaming",
    timeoutMs: getNumber(value, "timeout_ms") ?? DEFAULT_TIMEOUT_MS,
    targetMs: getNumber(value, "target_latency_ms") ?? DEFAULT_TARGET_MS,
    targetEventGapMs:
      getNumber(value, "gap_aim_ms") ?? DEFAULT_TARGET_EVENT_GAP_MS,
    rank: getNumber(value, "priority") ?? DEFAULT_RANK,
    maxAttempts: Math.max(1, getNumber(value, "attempts") ?? 1),
    needsApiKey: value.public !== true,
    // `sticky` marks routes whose prompts share parts, not sticky sessions.
    sharesPrompts: value.sticky === true,
    models: getTexts(value, "sizes"),
  });
}

function decodeService(value: unknown): Result<Service, DecodeFailure> {
  if (!isFields(value))
    return err(createDecodeFailure("service is not an object"));
  const name = getText(value, "name");
  if (name === undefined)
    return err(createDecodeFailure("service has no name"));
  const engine = getFields(value, "engine");
  return ok({
    name,
    maxConnections: getNumber(value, "max_conns") ?? 1,
    coldMs: (getNumber(value, "cold_start_s") ?? 0) * MS_PER_SECOND,
    coldPerSecond: getNumber(value, "cold_per_s") ?? 0,
    isLoadShared: false,
    models: getList(engine, "models")
      .filter(isFields)
      .map((model) => ({
        name: getText(model, "name") ?? "",
        cost: getNumber(model, "cost") ?? 0,
      })),
  });
}

/**
 * Target of a stream's first event from which its service's load is shared, ms:
 * it leaves time for a few rounds of messages between entries.
 */
const MIN_SHARED_LOAD_TARGET_MS = 4_000;

function isLoadShared(service: string, routes: readonly Route[]): boolean {
  return routes.some(
    ({ isStream, targetMs, services }) =>
      isStream &&
      targetMs >= MIN_SHARED_LOAD_TARGET_MS &&
      services.some((share) => share.service === service),
  );
}

function decodeAccount(value: unknown): Result<ClientAccount, DecodeFailure> {
  if (!isFields(value))
    return err(createDecodeFailure("tenant is not an object"));
  const name = getText(value, "name");
  if (name === undefined) return err(createDecodeFailure("tenant has no name"));
  const rank = getNumber(value, "priority");
  return ok({ name, rank, apiKeys: getTexts(value, "api_keys") });
}

export function decodeConfiguration(
  spec: unknown,
): Result<DecodedConfiguration, DecodeFailure> {
  if (!isFields(spec))
    return err(
      createDecodeFailure(
        "configuration is not an object or is nested too deeply",
      ),
    );
  const version = getNumber(spec, "version");
  if (version === undefined) {
    return err(createDecodeFailure("configuration has no version"));
  }
  const skipReasons: string[] = [];
  const decodeAll = <T>(
    name: string,
    decode: (value: unknown) => Result<T, DecodeFailure>,
  ): T[] =>
    getList(spec, name).flatMap((value) => {
      const result = decode(value);
      if (result.isOk()) return [result.value];
      skipReasons.push(result.error.detail);
      return [];
    });
  // Accounts that can't be read must not let callers in without a key.
  const hasAccounts = spec.tenants !== undefined;
  if (hasAccounts && !Array.isArray(spec.tenants))
    skipReasons.push("tenants is not a list, so no key is accepted");
  const limits = getFields(spec, "limits");
  const routes = decodeAll("routes", decodeRoute);
  return ok({
    configuration: {
      version,
      routes,
      services: decodeAll("services", decodeService).map((service) => ({
        ...service,
        isLoadShared: isLoadShared(service.name, routes),
      })),
      accounts: hasAccounts ? decodeAll("tenants", decodeAccount) : undefined,
      limits: {
        maxHeaderBytes:
          getNumber(limits, "max_header_bytes") ??
          DEFAULT_LIMITS.maxHeaderBytes,
        maxBodyBytes:
          getNumber(limits, "max_body_bytes") ?? DEFAULT_LIMITS.maxBodyBytes,
        idleTimeoutMs:
          getNumber(limits, "idle_timeout_ms") ?? DEFAULT_LIMITS.idleTimeoutMs,
        headerTimeoutMs:
          getNumber(limits, "header_timeout_ms") ??
          DEFAULT_LIMITS.headerTimeoutMs,
      },
    },
    skipReasons,
  });
}

/** Characters that a header may have; names are also compared with headers. */
const NAME_PATTERN = /^[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?$/;
const MAX_NAME_LENGTH = 256;

function isName(text: string): boolean {
  return text.length <= MAX_NAME_LENGTH && NAME_PATTERN.test(text);
}

/** Above any endpoint's; a larger number is another writer's. */
const MAX_SLOTS = 1_000_000;
/** Endpoints are cold for seconds, and one that says more stays cold. */
const MAX_COLD_LEFT_MS = 3_600_000;

function isMissing(value: unknown): boolean {
  return value === undefined || value === null;
}

/** An endpoint with an invalid record is not used. */
export function decodeEndpoint(
  object: StoredObject,
): Result<EndpointRecord, DecodeFailure> {
  const { name, spec } = object;
  const fail = (detail: string) =>
    err(createDecodeFailure(`server ${name}: ${detail}`));
  if (!isName(name)) return fail("the id is too long or no header value");
  if (!isFields(spec))
    return fail("spec is not an object or is nested too deeply");
  const service = getText(spec, "service");
  const networkAddress = parseAddress(getText(spec, "addr") ?? "");
  const state = getText(spec, "state");
  const dataCentre = getText(spec, "zone");
  const version = getText(spec, "version");
  const slots = getNumber(spec, "slots");
  if (service === undefined || dataCentre === undefined) {
    return fail("service or zone is missing");
  }
  if (networkAddress === undefined) return fail("addr is not IP:PORT");
  if (version === undefined) return fail("version is missing");
  if (slots === undefined || slots < 1)
    return fail("slots is not a positive number");
  if (state !== "ready" && state !== "draining") {
    return fail(`state "${state ?? ""}" is unknown`);
  }
  if (!Number.isInteger(slots) || slots > MAX_SLOTS)
    return fail("slots is not a whole number or too large");
  const texts = [service, dataCentre, version];
  if (texts.some((text) => text.length > MAX_NAME_LENGTH))
    return fail("service, zone or version is too long");
  const { cold_left_ms: coldLeft, born } = spec;
  const coldLeftMs = getNumber(spec, "cold_left_ms");
  if (
    !isMissing(coldLeft) &&
    (coldLeftMs ?? Number.POSITIVE_INFINITY) > MAX_COLD_LEFT_MS
  )
    return fail("cold_left_ms is not a number or too large");
  const startedAtMs = getCount(spec, "born");
  if (!isMissing(born) && startedAtMs === undefined)
    return fail("born is not a whole number");
  const sequence = getCount(spec, "seq");
  if (!isMissing(spec.seq) && sequence === undefined)
    return fail("seq is not a whole number");
  return ok({
    id: name,
    service,
    ...networkAddress,
    dataCentre,
    version,
    slots,
    isLeaving: state === "draining",
    coldLeftMs: Math.max(0, coldLeftMs ?? 0),
    startedAtMs,
    sequence,
  });
}

/** A map, since an object also has the names of its prototype. */
const OUTCOME_BY_STATE: ReadonlyMap<string, RolloutOutcome> = new Map([
  ["completed", ROLLOUT_OUTCOME.completed],
  ["rolled_back", ROLLOUT_OUTCOME.rolledBack],
]);
/** Above any order's; a larger number is another writer's. */
const MAX_ROLLOUT_S = 31 * 86_400;

export function decodeRollout(
  object: StoredObject,
): Result<RolloutOrder, DecodeFailure> {
  const { name, spec, status, revision, createdRevision } = object;
  if (!isFields(spec)) {
    return err(
      createDecodeFailure(
        `rollout ${name}: spec is not an object or is nested too deeply`,
      ),
    );
  }
  const service = getText(spec, "service");
  const target = getText(spec, "target");
  const durationS = getNumber(spec, "duration_s");
  if (service === undefined || target === undefined || !durationS) {
    return err(
      createDecodeFailure(
        `rollout ${name}: service, target or duration_s is missing`,
      ),
    );
  }
  if (durationS < 0 || durationS > MAX_ROLLOUT_S) {
    return err(
      createDecodeFailure(`rollout ${name}: duration_s is out of range`),
    );
  }
  if (service !== name) {
    return err(
      createDecodeFailure(`rollout ${name}: service has another name`),
    );
  }
  const statusFields = isFields(status) ? status : {};
  // A status with another target belongs to an earlier order.
  const isSameOrder = getText(statusFields, "target") === target;
  const state = getText(statusFields, "state") ?? "";
  return ok({
    service,
    target,
    durationMs: durationS * MS_PER_SECOND,
    outcome: isSameOrder ? OUTCOME_BY_STATE.get(state) : undefined,
    createdRevision,
    revision,
  });
}

/** Creates the status that reports the state of a roll-out to the platform. */
export function createRolloutStatus(
  order: RolloutOrder,
  outcome: RolloutOutcome | undefined,
): Fields {
  const state = [...OUTCOME_BY_STATE].find(
    ([, value]) => value === outcome,
  )?.[0];
  return { state: state ?? "running", target: order.target };
}
