/** Failures of calls to the platform's store and of decoding documents. */

export const STORE_FAILURE = {
  /** No answer came; the call may have been carried out. */
  noAnswer: "no-answer",
  /** The store answered that it did not carry out the call. */
  unavailable: "unavailable",
  throttled: "throttled",
  /** The object was changed since the given revision. */
  conflict: "conflict",
  notFound: "not-found",
  /** The store no longer has all changes since the given revision. */
  historyGone: "history-gone",
  /** The answer is larger than the client accepts. */
  tooLarge: "too-large",
  /** The answer can't be decoded, or its status is unexpected. */
  malformed: "malformed",
} as const;
export type StoreFailureKind =
  (typeof STORE_FAILURE)[keyof typeof STORE_FAILURE];

export interface StoreFailure {
  readonly kind: StoreFailureKind;
  readonly detail: string;
  /** Nothing came in time; the connection may be silent for good. */
  readonly isTimeout?: boolean;
}

/** An invalid document, or an invalid part of one. */
export interface DecodeFailure {
  readonly kind: "decode";
  readonly detail: string;
}

/** Details are logged, and names in them are as long as their writer likes. */
const MAX_DETAIL_LENGTH = 200;

export function createDecodeFailure(detail: string): DecodeFailure {
  return { kind: "decode", detail: detail.slice(0, MAX_DETAIL_LENGTH) };
}
