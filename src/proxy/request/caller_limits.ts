/** Limits of what a caller may send that the configuration sets. */

import type { IncomingMessage } from "node:http";
import {
  BYTES_PER_HEAD_BYTE,
  type HeldMemory,
  MAX_BODY_MS,
  REQUEST_BYTES,
  SENDER,
} from "../../adapters/received/index.js";
import type { Configuration } from "../types.js";

const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly maxBodyMs: number;
}

/** Until a configuration is read. */
const DEFAULT_LIMITS: RequestLimits = {
  maxHeaderBytes: DEFAULT_MAX_HEADER_BYTES,
  maxBodyBytes: DEFAULT_MAX_BODY_BYTES,
  maxBodyMs: MAX_BODY_MS,
};

const knownLimits = new WeakMap<Configuration, RequestLimits>();

export function getRequestLimits(
  configuration: Configuration | undefined,
): RequestLimits {
  if (configuration === undefined) return DEFAULT_LIMITS;
  const known = knownLimits.get(configuration);
  if (known !== undefined) return known;
  const { limits, routes } = configuration;
  const { maxHeaderBytes, maxBodyBytes } = limits;
  // A body may take as long as the slowest route allows for the answer.
  const timeoutsMs = routes.map(({ timeoutMs }) => timeoutMs);
  const maxBodyMs = Math.max(MAX_BODY_MS, ...timeoutsMs);
  const requestLimits = { maxHeaderBytes, maxBodyBytes, maxBodyMs };
  knownLimits.set(configuration, requestLimits);
  return requestLimits;
}

/** Takes memory for a request apart from its body; false if there is none. */
export function takeHeadMemory(
  request: IncomingMessage,
  memory: HeldMemory,
): boolean {
  const headBytes = countHeadBytes(request);
  const bytes = REQUEST_BYTES + BYTES_PER_HEAD_BYTE * headBytes;
  return memory.reserve(SENDER.callerHead, bytes, headBytes);
}

/** The target and the names and values of headers, as Node counts a head. */
export function countHeadBytes(request: IncomingMessage): number {
  const { url = "", rawHeaders } = request;
  return rawHeaders.reduce((sum, { length }) => sum + length, url.length);
}
