/** Tells whether two calls, each with an id of its own, are one request. */

import { createHash } from "node:crypto";

/** 96 bits: callers could find two requests with the same shorter hash. */
const FINGERPRINT_LENGTH = 24;

export interface RequestIdentity {
  /** The account, or the API key of a caller without one. */
  readonly caller: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** Ids of the parts that its prompt shares with others. */
  readonly parts: readonly string[];
  readonly body: Buffer;
}

export function hashRequest(identity: RequestIdentity): string {
  const { caller, method, host, path, parts, body } = identity;
  return createHash("sha256")
    .update(JSON.stringify([caller, method, host.toLowerCase(), path, parts]))
    .update(body)
    .digest("hex")
    .slice(0, FINGERPRINT_LENGTH);
}
