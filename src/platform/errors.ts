/** Failures of calls to the platform's store and of what it holds. */

export const STORE_FAILURE = {
  /** No answer came; the call may have been carried out. */
  noAnswer: "no-answer",
  /** The store says that nothing was done. */
  unavailable: "unavailable",
  throttled: "throttled",
  /** The object has another revision. */
  conflict: "conflict",
  notFound: "not-found",
  /** The history after the asked revision is gone. */
  historyGone: "history-gone",
  /** The answer exceeds what is read of one. */
  tooLarge: "too-large",
  /** The answer can't be read. */
  malformed: "malformed",
} as const;
export type StoreFailureKind =
  (typeof STORE_FAILURE)[keyof typeof STORE_FAILURE];

export interface StoreFailure {
  readonly kind: StoreFailureKind;
  readonly detail: string;
}

/** An object or field that names nothing to use. */
export interface DecodeFailure {
  readonly kind: "decode";
  readonly detail: string;
}

export function createDecodeFailure(detail: string): DecodeFailure {
  return { kind: "decode", detail };
}
