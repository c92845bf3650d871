/**
 * A session keeps its version: by a signed token that carries it, or, for
 * callers that only send an id, by an assignment. A session moves to another
 * version when it may no longer use its own.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { FleetState } from "../schema/index.js";
import { hashToShare, sortByRendezvous } from "./canonical.js";
import { createRefusal, type Refusal } from "./errors.js";

export const MAX_SESSION_ID_CHARS = 128;
const MAX_TOKEN_CHARS = 2_048;
const TOKEN_FORMAT = "1";

/** Why a session moves to another version. */
export type SessionMoveReason = "withdrawn" | "not-allowed";

export interface SessionClaims {
  readonly account: string;
  readonly session: string;
  readonly requestClass: string;
  readonly version: string;
}

function signText(text: string, key: string): Buffer {
  return createHmac("sha256", key).update(text).digest();
}

export function signSessionToken(claims: SessionClaims, key: string): string {
  const { account, session, requestClass, version } = claims;
  const fields = [TOKEN_FORMAT, account, session, requestClass, version];
  const payload = Buffer.from(JSON.stringify(fields)).toString("base64url");
  return `${payload}.${signText(payload, key).toString("base64url")}`;
}

function parseSessionClaims(payload: string): SessionClaims | undefined {
  const text = Buffer.from(payload, "base64url").toString("utf8");
  const fields: unknown = JSON.parse(text);
  if (!Array.isArray(fields) || fields.length !== 5) return undefined;
  if (!fields.every((field) => typeof field === "string")) return undefined;
  const [format, account, session, requestClass, version] = fields as [
    string,
    string,
    string,
    string,
    string,
  ];
  if (format !== TOKEN_FORMAT) return undefined;
  return { account, session, requestClass, version };
}

/** Returns the token's claims when it was signed with the key. */
export function readSessionToken(
  token: string,
  key: string,
): SessionClaims | undefined {
  if (token.length > MAX_TOKEN_CHARS) return undefined;
  const [payload, signature, ...rest] = token.split(".");
  if (payload === undefined || signature === undefined) return undefined;
  if (rest.length > 0) return undefined;
  const given = Buffer.from(signature, "base64url");
  const expected = signText(payload, key);
  if (given.length !== expected.length) return undefined;
  return timingSafeEqual(given, expected)
    ? parseSessionClaims(payload)
    : undefined;
}

/**
 * Checks the length and encoding of a session id. UTF-8 encoding replaces a
 * lone surrogate, so two ids that contain one could share a key.
 */
export function checkSessionId(sessionId: string): Refusal | undefined {
  const { length } = sessionId;
  const isWellFormed =
    Buffer.from(sessionId, "utf8").toString("utf8") === sessionId;
  if (length > 0 && length <= MAX_SESSION_ID_CHARS && isWellFormed) {
    return undefined;
  }
  const shown = JSON.stringify(sessionId.slice(0, 40));
  return createRefusal(
    "bad-request",
    `Session id ${shown} must have 1 to ${MAX_SESSION_ID_CHARS} well-formed characters`,
  );
}

/**
 * Key of a session's record. The id is a caller's text, and base64url keeps
 * slashes and dot segments out of the key. Classes have different versions, so
 * a session that uses two classes has a record for each.
 */
export function formatSessionKey(session: {
  readonly account: string;
  readonly sessionId: string;
  readonly requestClass: string;
}): string {
  const [account, requestClass] = [session.account, session.requestClass].map(
    encodeURIComponent,
  );
  const id = Buffer.from(session.sessionId, "utf8").toString("base64url");
  return `sessions/${account}/${id}.${requestClass}`;
}

/** Why the session may not keep its version; undefined when it may. */
export function findSessionMoveReason(
  state: FleetState,
  session: Omit<SessionClaims, "session">,
): SessionMoveReason | undefined {
  const { account, requestClass, version } = session;
  if (state.versions[version]?.state !== "active") return "withdrawn";
  const isAllowedForAccount =
    state.accounts[account]?.versions.includes(version);
  const versions = state.classes[requestClass]?.versions;
  const isAllowedForClass = versions?.includes(version) ?? true;
  return isAllowedForAccount && isAllowedForClass ? undefined : "not-allowed";
}

export interface SessionAssignment {
  readonly account: string;
  readonly sessionId: string;
  readonly candidates: readonly string[];
}

/**
 * Assigns a version to a session without one. All entries at one revision
 * choose the same version. A version in roll-out is a candidate for its share
 * of the sessions only, and a higher share only adds sessions to it.
 */
export function assignSessionVersion(
  state: FleetState,
  assignment: SessionAssignment,
): string | undefined {
  const { account, sessionId, candidates } = assignment;
  const session = JSON.stringify([account, sessionId]);
  const active = candidates.filter(
    (version) => state.versions[version]?.state === "active",
  );
  const unheld = active.filter(
    (version) => !Object.hasOwn(state.holds, version),
  );
  const eligible = unheld.filter((version) => {
    const share = state.rollouts[version]?.share ?? 1;
    return hashToShare(JSON.stringify([session, version])) < share;
  });
  const pool = [eligible, unheld, active].find((names) => names.length > 0);
  return sortByRendezvous(session, pool ?? [])[0];
}

/** A session's record in the store. */
export interface SessionRecord {
  readonly version: string;
  /** Revision at which the version was chosen. */
  readonly revision: number;
}

export function parseSessionRecord(
  value: unknown,
): Result<SessionRecord, Refusal> {
  const record = value as Partial<SessionRecord> | null;
  if (
    typeof record?.version === "string" &&
    typeof record.revision === "number"
  ) {
    return ok({ version: record.version, revision: record.revision });
  }
  return err(
    createRefusal("store-unavailable", "The session's record is not readable"),
  );
}
