/** Store access to claim documents; used by entries and endpoints. */

import type { ObjectStore } from "../adapters/index.js";
import {
  assertInvariant,
  type BilledResult,
  getClaimKey,
  settleClaim,
} from "../core/index.js";
import {
  readObject,
  type StoreCallOptions,
  type StoreUnavailable,
  writeObject,
} from "../runtime/store_calls.js";
import type { Claim } from "../schema/index.js";

/** A claim has few writers, so more conflicts than this indicate a fault. */
const MAX_RESULT_WRITE_TRIES = 8;

/** A claim and its version in the store; 0 when it is not stored yet. */
export interface StoredClaim {
  readonly claim: Claim;
  readonly version: number;
}

export type ClaimWriteOutcome =
  | { readonly kind: "written"; readonly stored: StoredClaim }
  | { readonly kind: "conflict"; readonly current: StoredClaim | undefined }
  | StoreUnavailable;

export async function readClaim(
  store: ObjectStore,
  id: { account: string; key: string },
  options: StoreCallOptions,
): Promise<
  { kind: "read"; stored: StoredClaim | undefined } | StoreUnavailable
> {
  const key = getClaimKey(id.account, id.key);
  const outcome = await readObject(store, key, options);
  if (outcome.kind === "unavailable") return outcome;
  const { object } = outcome;
  if (object === undefined) return { kind: "read", stored: undefined };
  const stored = { claim: object.value as Claim, version: object.version };
  return { kind: "read", stored };
}

/** Writes the claim if the store still has the given version. */
export async function writeClaim(
  store: ObjectStore,
  next: StoredClaim,
  options: StoreCallOptions,
): Promise<ClaimWriteOutcome> {
  const { claim, version } = next;
  const outcome = await writeObject(
    store,
    {
      key: getClaimKey(claim.account, claim.key),
      value: claim,
      ifVersion: version,
      isOwn: (value) => (value as Claim).nonce === claim.nonce,
    },
    options,
  );
  if (outcome.kind === "unavailable") return outcome;
  if (outcome.kind === "written") {
    return { kind: "written", stored: { claim, version: outcome.version } };
  }
  const { current } = outcome;
  if (current === undefined) return { kind: "conflict", current };
  return {
    kind: "conflict",
    current: { claim: current.value as Claim, version: current.version },
  };
}

/** Records the result of an attempt that ran in its claim, at most once. */
export async function writeResult(
  store: ObjectStore,
  result: BilledResult,
  options: StoreCallOptions & {
    createId: () => string;
    /** The claim as last read or written, which saves a read. */
    known?: StoredClaim;
  },
): Promise<{ kind: "stored"; claim: Claim } | StoreUnavailable> {
  let known = options.known;
  for (let tries = 0; tries < MAX_RESULT_WRITE_TRIES; tries += 1) {
    if (known === undefined) {
      const read = await readClaim(store, result, options);
      if (read.kind === "unavailable") return read;
      assertInvariant(
        read.stored !== undefined,
        "falseNotRun",
        `Request with key "${result.key}" ran and has no claim`,
      );
      known = read.stored;
    }
    const next = settleClaim(known.claim, result, options.createId());
    if (next === undefined) return { kind: "stored", claim: known.claim };
    const write = await writeClaim(
      store,
      { claim: next, version: known.version },
      options,
    );
    if (write.kind === "unavailable") return write;
    if (write.kind === "written") return { kind: "stored", claim: next };
    known = write.current;
  }
  const detail = `Claim "${result.key}" changed ${MAX_RESULT_WRITE_TRIES} times`;
  return { kind: "unavailable", detail };
}
