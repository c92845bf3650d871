/**
 * Typed failures that callers receive. Each says whether the request ran, so
 * that a caller knows whether sending it again is safe.
 */

/** Whether a refused or failed request reached an engine or service. */
export type Ran = "no" | "unknown" | "yes";

/** Refusal codes with their HTTP status and whether the request ran. */
export const REFUSAL_CODES = {
  "bad-request": { status: 400, ran: "no" },
  "idempotency-key-required": { status: 400, ran: "no" },
  unauthorized: { status: 401, ran: "no" },
  "not-allowed": { status: 403, ran: "no" },
  "unknown-model": { status: 404, ran: "no" },
  "unknown-class": { status: 404, ran: "no" },
  "unknown-service": { status: 404, ran: "no" },
  "not-found": { status: 404, ran: "no" },
  "in-progress": { status: 409, ran: "unknown" },
  "answer-not-kept": { status: 409, ran: "yes" },
  "body-too-large": { status: 413, ran: "no" },
  "headers-too-large": { status: 431, ran: "no" },
  "key-reused": { status: 422, ran: "no" },
  "version-withdrawn": { status: 410, ran: "no" },
  overloaded: { status: 429, ran: "no" },
  capacity: { status: 503, ran: "no" },
  "prompt-held": { status: 503, ran: "no" },
  draining: { status: 503, ran: "no" },
  stopping: { status: 503, ran: "no" },
  isolated: { status: 503, ran: "no" },
  "stale-revision": { status: 503, ran: "no" },
  "wrong-epoch": { status: 503, ran: "no" },
  "attempt-revoked": { status: 503, ran: "no" },
  "no-endpoint": { status: 503, ran: "no" },
  "store-unavailable": { status: 503, ran: "no" },
  "ledger-full": { status: 503, ran: "no" },
  "deadline-exceeded": { status: 504, ran: "no" },
  "outcome-unknown": { status: 502, ran: "unknown" },
  "engine-failed": { status: 502, ran: "yes" },
  "engine-overloaded": { status: 503, ran: "yes" },
} as const satisfies Record<string, { status: number; ran: Ran }>;

export type RefusalCode = keyof typeof REFUSAL_CODES;

/** A typed failure in place of an answer. */
export interface Refusal {
  readonly kind: "refusal";
  readonly code: RefusalCode;
  readonly status: number;
  readonly ran: Ran;
  readonly detail: string;
  /** Time after which the caller may retry. */
  readonly retryAfterMs: number;
}

const DEFAULT_RETRY_AFTER_MS = 1_000;

export interface RefusalOptions {
  ran?: Ran;
  retryAfterMs?: number;
}

export function createRefusal(
  code: RefusalCode,
  detail: string,
  options: RefusalOptions = {},
): Refusal {
  const { status, ran } = REFUSAL_CODES[code];
  return {
    kind: "refusal",
    code,
    status,
    ran: options.ran ?? ran,
    detail,
    retryAfterMs: options.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
  };
}

/** Checks a code from another process, which may be newer and have others. */
export function isRefusalCode(text: string): text is RefusalCode {
  return Object.hasOwn(REFUSAL_CODES, text);
}

/** Thrown when an invariant does not hold. */
export class InvariantError extends Error {
  override readonly name = "InvariantError";
  readonly property: string;

  constructor(property: string, detail: string) {
    super(`${property}: ${detail}`);
    this.property = property;
  }
}

/** Asserts an invariant; `property` names the guarantee that it protects. */
export function assertInvariant(
  condition: boolean,
  property: string,
  detail: string,
): asserts condition {
  if (!condition) throw new InvariantError(property, detail);
}
