/** Reads the platform's settings file. */

import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { parse } from "smol-toml";
import { pauseFor } from "../adapters/pause_for.js";
import { DEFAULT_HOST_MEMORY_MB } from "../adapters/received/index.js";
import type { NetworkAddress } from "../proxy/index.js";
import { createDecodeFailure, type DecodeFailure } from "./failures.js";
import {
  type Fields,
  getFields,
  getNumber,
  getText,
  getTexts,
} from "./fields.js";
import { parseAddress } from "./parse_address.js";

const MS_PER_SECOND = 1_000;

export interface EntrySettings {
  readonly name: string;
  readonly role: string;
  readonly dataCentre: string;
  /** Address of this host. */
  readonly address: string;
  /** Where callers connect. */
  readonly callerAddress: NetworkAddress;
  /** Where the load balancer asks whether the entry is ready. */
  readonly readinessAddress: NetworkAddress;
  /** Where the platform's object store listens. */
  readonly storeAddress: NetworkAddress;
  readonly metricsPort: number;
  /** Where other entries reach this one. */
  readonly exchangeAddress: NetworkAddress;
  /** Exchange addresses of some entries; they may be out of date. */
  readonly seeds: readonly NetworkAddress[];
  readonly bounds: EntryBounds;
  /** Memory of this host, MB. */
  readonly memoryMb: number;
  /** Descriptors that this process may have open. */
  readonly maxDescriptors: number;
}

export interface EntryBounds {
  /** An API key that was withdrawn this long ago must not work. */
  readonly revokeMs: number;
  /** A configuration that was accepted this long ago must be in force. */
  readonly configMs: number;
  /** An endpoint that leaves gets no new requests after this time. */
  readonly drainMs: number;
  /** An evacuated data centre gets no requests after this time. */
  readonly evacuationMs: number;
  /** Time from the stop signal until the process is killed. */
  readonly graceMs: number;
  /** Limits of the retry budget; see `RetryLimits`. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retryAllowance: number;
  /** Longest gap between two requests of a session. */
  readonly sessionGapMs: number;
  /** Largest share of a service's requests that may reach a bad version. */
  readonly maxExposure: number;
}

/** Defaults of bounds that the file leaves out. */
const DEFAULTS = {
  revokeMs: 5_000,
  configMs: 2_000,
  drainMs: 2_000,
  evacuationMs: 5_000,
  graceS: 8,
  retryRatio: 0.1,
  retryWindowS: 10,
  retryAllowance: 10,
  sessionS: 5,
  maxExposure: 0.1,
} as const;

function decodeBounds(bounds: Fields): EntryBounds {
  const graceS = getNumber(bounds, "grace_s") ?? DEFAULTS.graceS;
  const retryWindowS =
    getNumber(bounds, "retry_window_s") ?? DEFAULTS.retryWindowS;
  const sessionS = getNumber(bounds, "session_s") ?? DEFAULTS.sessionS;
  return {
    revokeMs: getNumber(bounds, "revoke_ms") ?? DEFAULTS.revokeMs,
    configMs: getNumber(bounds, "config_deadline_ms") ?? DEFAULTS.configMs,
    drainMs: getNumber(bounds, "drain_ms") ?? DEFAULTS.drainMs,
    evacuationMs: getNumber(bounds, "evac_ms") ?? DEFAULTS.evacuationMs,
    graceMs: graceS * MS_PER_SECOND,
    retryRatio: getNumber(bounds, "retry_budget_ratio") ?? DEFAULTS.retryRatio,
    retryWindowMs: retryWindowS * MS_PER_SECOND,
    retryAllowance: getNumber(bounds, "retry_slack") ?? DEFAULTS.retryAllowance,
    sessionGapMs: sessionS * MS_PER_SECOND,
    maxExposure: getNumber(bounds, "expose_share") ?? DEFAULTS.maxExposure,
  };
}

/** Descriptors that a process may usually open where the file names none. */
const DEFAULT_MAX_DESCRIPTORS = 1_024;

function decodeResources(
  limits: Fields,
): Pick<EntrySettings, "memoryMb" | "maxDescriptors"> {
  const memoryMb = getNumber(limits, "memory_mb") ?? 0;
  const maxDescriptors = getNumber(limits, "max_fds") ?? 0;
  return {
    memoryMb: memoryMb > 0 ? memoryMb : DEFAULT_HOST_MEMORY_MB,
    maxDescriptors:
      maxDescriptors > 0 ? maxDescriptors : DEFAULT_MAX_DESCRIPTORS,
  };
}

function parseToml(text: string): Result<Fields, DecodeFailure> {
  try {
    return ok(parse(text));
  } catch (error) {
    return err(createDecodeFailure(String(error)));
  }
}

/** Index of the port for metrics in `port_range`. */
const METRICS_PORT_INDEX = 0;

export function decodeSettings(
  text: string,
): Result<EntrySettings, DecodeFailure> {
  return parseToml(text).andThen((file) => {
    const listen = getFields(file, "listen");
    const platform = getFields(file, "platform");
    const name = getText(file, "node_name");
    const address = getText(file, "ip");
    const callerAddress = parseAddress(getText(listen, "front") ?? "");
    const readinessAddress = parseAddress(getText(listen, "ready") ?? "");
    const storeAddress = parseAddress(getText(platform, "addr") ?? "");
    const ports = Array.isArray(file.port_range) ? file.port_range : [];
    // The platform calls it control; here other entries send their messages.
    const exchangeAddress = parseAddress(getText(listen, "control") ?? "");
    const metricsPort = Number(ports[METRICS_PORT_INDEX]);
    const fail = (key: string) =>
      err(createDecodeFailure(`settings: ${key} is missing or invalid`));
    if (name === undefined) return fail("node_name");
    if (address === undefined) return fail("ip");
    if (callerAddress === undefined) return fail("listen.front");
    if (readinessAddress === undefined) return fail("listen.ready");
    if (storeAddress === undefined) return fail("platform.addr");
    if (!Number.isInteger(metricsPort)) return fail("port_range");
    if (exchangeAddress === undefined) return fail("listen.control");
    return ok({
      name,
      address,
      callerAddress,
      readinessAddress,
      storeAddress,
      metricsPort,
      exchangeAddress,
      seeds: getTexts(file, "seeds").flatMap(
        (text) => parseAddress(text) ?? [],
      ),
      role: getText(file, "role") ?? "entry",
      dataCentre: getText(file, "zone") ?? "",
      bounds: decodeBounds(getFields(file, "bounds")),
      ...decodeResources(getFields(file, "limits")),
    });
  });
}

export function readSettings(
  path: string,
): Result<EntrySettings, DecodeFailure> {
  try {
    return decodeSettings(readFileSync(path, "utf8"));
  } catch (error) {
    return err(createDecodeFailure(`Cannot read "${path}": ${String(error)}`));
  }
}

/** For how long a file that can't be read or decoded is tried again, ms. */
const FILE_WAIT_MS = 2_500;
const FILE_CHECK_INTERVAL_MS = 50;

/**
 * Reads the file at the start, at which it may still be missing or half
 * written. Resolves to the last failure after a time or when aborted.
 */
export async function loadSettings(
  path: string,
  signal: AbortSignal,
): Promise<Result<EntrySettings, DecodeFailure>> {
  const startedAtMs = performance.now();
  for (;;) {
    const settings = readSettings(path);
    const isOver = performance.now() - startedAtMs >= FILE_WAIT_MS;
    if (settings.isOk() || path === "" || isOver || signal.aborted)
      return settings;
    await pauseFor(FILE_CHECK_INTERVAL_MS, signal);
  }
}
