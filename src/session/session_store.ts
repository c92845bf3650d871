/** Resolves the version of a session's request, the same at every entry. */

import { LRUCache } from "lru-cache";
import { err, ok, type Result } from "neverthrow";
import type { ObjectStore } from "../adapters/index.js";
import {
  assignSessionVersion,
  checkSessionId,
  createRefusal,
  findSessionMoveReason,
  formatSessionKey,
  type Refusal,
  readSessionToken,
  type SessionClaims,
  type SessionMoveReason,
  type SessionRecord,
  signSessionToken,
} from "../core/index.js";
import type { FleetState } from "../schema/index.js";
import { SETTLE_TIMEOUT_MS, settleRecord } from "./session_records.js";

export interface SessionRequest {
  readonly account: string;
  readonly requestClass: string;
  /** From the caller; the token's session when absent. */
  readonly sessionId?: string;
  readonly token?: string;
  /** Versions from which a session without one may get its version. */
  readonly candidates: readonly string[];
  readonly state: FleetState;
}

export interface ResolvedSession {
  readonly version: string;
  /** Absent when no session key is set. */
  readonly token?: string;
  /** Present when the session lost the version it had. */
  readonly moved?: SessionMoveReason;
}

export interface SessionResolverOptions {
  readonly store: ObjectStore;
  /** Secret of all entries; without it tokens are neither made nor read. */
  readonly sessionKey?: string;
  /** Longest wait for the store before it counts as out. @internal */
  readonly settleMs?: number;
}

/** About 10 MB. */
const MAX_CACHED_SESSIONS = 50_000;

interface CachedSession {
  readonly version: string;
  readonly stamp: string;
}

interface Session extends SessionRequest {
  readonly sessionId: string;
  readonly key: string;
}

/** Tickets that decide on a version's use: a change asks for a new look. */
function formatStamp(request: SessionRequest, version: string): string {
  const { account, requestClass, state } = request;
  return [`version/${version}`, `account/${account}`, `class/${requestClass}`]
    .map((subject) => state.subjects[subject] ?? 0)
    .join(":");
}

export class SessionResolver {
  readonly #options: SessionResolverOptions;
  readonly #cache = new LRUCache<string, CachedSession>({
    max: MAX_CACHED_SESSIONS,
  });
  #isStoreFailing = false;

  constructor(options: SessionResolverOptions) {
    this.#options = options;
  }

  async resolve(
    request: SessionRequest,
    signal: AbortSignal,
  ): Promise<Result<ResolvedSession, Refusal>> {
    const claims = this.#readToken(request);
    const sessionId = request.sessionId ?? claims?.session;
    if (sessionId === undefined) {
      return err(createRefusal("bad-request", "Session token is not valid"));
    }
    const invalid = checkSessionId(sessionId);
    if (invalid !== undefined) return err(invalid);
    const { account, requestClass, state } = request;
    const version = findClaimedVersion(claims, { requestClass, sessionId });
    const lost =
      version === undefined
        ? undefined
        : findSessionMoveReason(state, { account, requestClass, version });
    if (version !== undefined && lost === undefined) {
      return ok({ version, token: request.token });
    }
    const key = formatSessionKey({ account, sessionId, requestClass });
    const settled = await this.#settle({ ...request, sessionId, key }, signal);
    return settled.map(({ version, moved }) => ({
      version,
      token: this.#sign({ account, session: sessionId, requestClass, version }),
      moved: moved ?? lost,
    }));
  }

  #readToken(request: SessionRequest): SessionClaims | undefined {
    const { sessionKey } = this.#options;
    if (request.token === undefined || sessionKey === undefined) return;
    const claims = readSessionToken(request.token, sessionKey);
    return claims?.account === request.account ? claims : undefined;
  }

  #sign(claims: SessionClaims): string | undefined {
    const { sessionKey } = this.#options;
    if (sessionKey === undefined) return undefined;
    return signSessionToken(claims, sessionKey);
  }

  async #settle(
    session: Session,
    signal: AbortSignal,
  ): Promise<Result<SettledVersion, Refusal>> {
    const { key } = session;
    const cached = this.#cache.get(key);
    const lost = cached && findMove(session, cached.version);
    if (cached !== undefined && lost === undefined) {
      const stamp = formatStamp(session, cached.version);
      if (cached.stamp === stamp) return ok({ version: cached.version });
    }
    const settled = await settleRecord(this.#options.store, {
      key,
      decide: (current) => decideRecord(session, current),
      isProbe: this.#isStoreFailing,
      settleMs: this.#options.settleMs ?? SETTLE_TIMEOUT_MS,
      signal,
    });
    this.#isStoreFailing =
      settled.isErr() && settled.error.kind === "records-unavailable";
    if (settled.isOk()) {
      const { record, replaced } = settled.value;
      const { version } = record;
      const moved = replaced && findMove(session, replaced.version);
      this.#keep(session, version);
      return ok({ version, moved: moved ?? lost });
    }
    const { error } = settled;
    if (error.kind === "refusal") return err(error);
    return err(refuseWithoutStore(session, error.detail));
  }

  #keep(session: Session, version: string): void {
    const stamp = formatStamp(session, version);
    this.#cache.set(session.key, { version, stamp });
  }
}

interface SettledVersion {
  readonly version: string;
  readonly moved?: SessionMoveReason;
}

/** The token's version, when the token is of this session and class. */
function findClaimedVersion(
  claims: SessionClaims | undefined,
  expected: { requestClass: string; sessionId: string },
): string | undefined {
  const isSame =
    claims?.session === expected.sessionId &&
    claims.requestClass === expected.requestClass;
  return isSame ? claims.version : undefined;
}

function findMove(
  session: Session,
  version: string,
): SessionMoveReason | undefined {
  const { account, requestClass, state } = session;
  return findSessionMoveReason(state, { account, requestClass, version });
}

function createNoVersionRefusal(session: Session): Refusal {
  const { account, requestClass } = session;
  return createRefusal(
    "not-allowed",
    `Account "${account}" has no active version for class "${requestClass}"`,
  );
}

/**
 * The record may have another version than the present state assigns: the
 * session may have moved, or begun before a roll-out. Only the store can tell.
 */
function refuseWithoutStore(session: Session, detail: string): Refusal {
  return createRefusal(
    "store-unavailable",
    `The version of session "${session.sessionId}" can't be looked up: ${detail}`,
  );
}

/** Keeps a record whose version is allowed, else chooses a version. */
function decideRecord(
  session: Session,
  current: SessionRecord | undefined,
): Result<SessionRecord | undefined, Refusal> {
  const { state } = session;
  if (current !== undefined) {
    if (findMove(session, current.version) === undefined) return ok(undefined);
    if (current.revision > state.revision) {
      // The state here is older than the choice and must not undo it.
      const detail = `The session was decided on revision ${current.revision}, this process holds ${state.revision}`;
      return err(createRefusal("stale-revision", detail));
    }
  }
  const version = assignSessionVersion(state, session);
  if (version === undefined) return err(createNoVersionRefusal(session));
  return ok({ version, revision: state.revision });
}
