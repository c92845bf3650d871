/**
 * Resolves the version of a request with a session. All entries give a session
 * the same version: by its token, or by its record in the object store.
 */

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
import {
  resolveSessionRecord,
  STORE_TIMEOUT_MS,
} from "./resolve_session_record.js";

export interface SessionRequest {
  readonly account: string;
  readonly requestClass: string;
  /** Sent by the caller; when absent, the token names the session. */
  readonly sessionId?: string;
  readonly token?: string;
  /** Versions that a session without a version may be assigned. */
  readonly candidates: readonly string[];
  readonly state: FleetState;
}

export interface ResolvedSession {
  readonly version: string;
  /** Absent when the settings have no session key. */
  readonly token?: string;
  /** Present when the session had to leave its earlier version. */
  readonly moveReason?: SessionMoveReason;
}

export interface SessionResolverOptions {
  readonly store: ObjectStore;
  /** Secret that all entries share; without it, tokens are not used. */
  readonly sessionKey?: string;
  /** Longest wait before the store counts as unavailable. @internal */
  readonly storeTimeoutMs?: number;
}

/** Takes about 10 MB of memory. */
const MAX_CACHED_SESSIONS = 50_000;

interface CachedSession {
  readonly version: string;
  readonly ticketNumbers: string;
}

interface Session extends SessionRequest {
  readonly sessionId: string;
  readonly key: string;
}

/**
 * Numbers of the tickets that decide whether the session may use the version.
 * A cached version is only valid while they stay the same.
 */
function formatTicketNumbers(request: SessionRequest, version: string): string {
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
    const sessionIdRefusal = checkSessionId(sessionId);
    if (sessionIdRefusal !== undefined) return err(sessionIdRefusal);
    const { account, requestClass, state } = request;
    const version = findTokenVersion(claims, { requestClass, sessionId });
    const tokenMoveReason =
      version === undefined
        ? undefined
        : findSessionMoveReason(state, { account, requestClass, version });
    if (version !== undefined && tokenMoveReason === undefined) {
      return ok({ version, token: request.token });
    }
    const key = formatSessionKey({ account, sessionId, requestClass });
    const resolved = await this.#resolveVersion(
      { ...request, sessionId, key },
      signal,
    );
    return resolved.map(({ version, moveReason }) => ({
      version,
      token: this.#sign({ account, session: sessionId, requestClass, version }),
      moveReason: moveReason ?? tokenMoveReason,
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

  async #resolveVersion(
    session: Session,
    signal: AbortSignal,
  ): Promise<Result<ResolvedVersion, Refusal>> {
    const { key } = session;
    const cached = this.#cache.get(key);
    const cachedMoveReason = cached && findMoveReason(session, cached.version);
    if (cached !== undefined && cachedMoveReason === undefined) {
      const ticketNumbers = formatTicketNumbers(session, cached.version);
      if (cached.ticketNumbers === ticketNumbers)
        return ok({ version: cached.version });
    }
    const resolved = await resolveSessionRecord(this.#options.store, {
      key,
      decide: (current) => decideRecord(session, current),
      isProbe: this.#isStoreFailing,
      storeTimeoutMs: this.#options.storeTimeoutMs ?? STORE_TIMEOUT_MS,
      signal,
    });
    this.#isStoreFailing =
      resolved.isErr() && resolved.error.kind === "records-unavailable";
    if (resolved.isOk()) {
      const { record, replaced } = resolved.value;
      const { version } = record;
      const recordMoveReason =
        replaced && findMoveReason(session, replaced.version);
      this.#cacheVersion(session, version);
      return ok({ version, moveReason: recordMoveReason ?? cachedMoveReason });
    }
    const { error } = resolved;
    if (error.kind === "refusal") return err(error);
    return err(createStoreRefusal(session, error.detail));
  }

  #cacheVersion(session: Session, version: string): void {
    const ticketNumbers = formatTicketNumbers(session, version);
    this.#cache.set(session.key, { version, ticketNumbers });
  }
}

interface ResolvedVersion {
  readonly version: string;
  readonly moveReason?: SessionMoveReason;
}

/** Finds the token's version if the token is for this session and class. */
function findTokenVersion(
  claims: SessionClaims | undefined,
  expected: { requestClass: string; sessionId: string },
): string | undefined {
  const isSameSession =
    claims?.session === expected.sessionId &&
    claims.requestClass === expected.requestClass;
  return isSameSession ? claims.version : undefined;
}

function findMoveReason(
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
 * Refuses instead of assigning a version by the present state. The record may
 * have another one, as the session may have moved or begun before a roll-out;
 * only the store can tell.
 */
function createStoreRefusal(session: Session, detail: string): Refusal {
  return createRefusal(
    "store-unavailable",
    `The version of session "${session.sessionId}" can't be looked up: ${detail}`,
  );
}

/** Keeps a record whose version is still allowed, else assigns a version. */
function decideRecord(
  session: Session,
  current: SessionRecord | undefined,
): Result<SessionRecord | undefined, Refusal> {
  const { state } = session;
  if (current !== undefined) {
    if (findMoveReason(session, current.version) === undefined)
      return ok(undefined);
    if (current.revision > state.revision) {
      // This process's state is older than the assignment: it must not undo it.
      const detail = `The session's version was assigned at revision ${current.revision}, this process has revision ${state.revision}`;
      return err(createRefusal("stale-revision", detail));
    }
  }
  const version = assignSessionVersion(state, session);
  if (version === undefined) return err(createNoVersionRefusal(session));
  return ok({ version, revision: state.revision });
}
