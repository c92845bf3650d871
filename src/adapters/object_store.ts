/** Interface of the object store; `createHttpObjectStore` implements it. */

import type { ResultAsync } from "neverthrow";

/** A key's value and version; each write to the key raises the version. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

export type StoreFailure =
  /** The call had no effect: the store was down or refused it. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** The call had no effect: the rate limit was reached. */
  | { readonly kind: "rate-limited"; readonly retryAfterMs: number }
  /** The call had no effect: the key has another version than expected. */
  | { readonly kind: "conflict"; readonly key: string }
  /** No answer came; a write may have taken effect. */
  | { readonly kind: "outcome-unknown"; readonly detail: string };

export interface WriteRequest {
  readonly key: string;
  readonly value: unknown;
  /** Expected version; 0 creates the key only when it does not exist. */
  readonly ifVersion: number;
}

export interface ObjectStore {
  read(
    key: string,
    signal: AbortSignal,
  ): ResultAsync<StoredObject | undefined, StoreFailure>;
  /** Resolves to the new version. */
  write(
    request: WriteRequest,
    signal: AbortSignal,
  ): ResultAsync<number, StoreFailure>;
  /** Objects under a prefix in key order, after the key `after`. */
  list(
    options: { prefix: string; after?: string; limit?: number },
    signal: AbortSignal,
  ): ResultAsync<StoredObject[], StoreFailure>;
  /**
   * Waits until the key's version differs from `version`, at most `waitMs`;
   * resolves to the object as it is then.
   */
  watch(
    options: { key: string; version: number; waitMs: number },
    signal: AbortSignal,
  ): ResultAsync<StoredObject | undefined, StoreFailure>;
}
