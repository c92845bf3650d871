/** Requests with an idempotency key, and an entry's claims on a fake store. */

import type { FakeStore, VirtualClock } from "../runtime/fake_store_test.js";
import type { Claim } from "../schema/index.js";
import type { LookUpAttempt } from "./claim_outcomes.js";
import { type AcquireRequest, EntryClaims } from "./entry_claims.js";
import { PendingResults } from "./pending_results.js";
import { type HolderCalls, ReceiptHolders } from "./receipt_holders.js";

export const NEVER_ABORTED = new AbortController().signal;
export const TEXT_ENCODER = new TextEncoder();

export function createAcquireRequest(
  clock: VirtualClock,
  part: Partial<AcquireRequest> = {},
): AcquireRequest {
  const requestId = part.requestId ?? "r1";
  const quote = {
    requestId,
    account: "pumps",
    requestClass: "order",
    steps: [],
    cost: 2,
    atMs: clock.now(),
  };
  return {
    account: "pumps",
    key: "k1",
    bodySha256: "b1",
    requestId,
    endpoint: "orders-1",
    epoch: "e1",
    quote,
    deadlineAtMs: clock.now() + 5_000,
    ...part,
  };
}

interface EntryParts {
  clock: VirtualClock;
  store: FakeStore;
  lookUpAttempt: LookUpAttempt;
  holdReceipt?: HolderCalls["holdReceipt"];
}

let nextId = 0;

export function createEntryClaims({ clock, store, ...parts }: EntryParts) {
  const createId = () => `id${++nextId}`;
  const holders = new ReceiptHolders({
    holdReceipt: parts.holdReceipt ?? (async () => true),
    releaseReceipts: async () => true,
  });
  const pending = new PendingResults({
    store,
    clock,
    createId,
    holders,
    getOwner: () => "entry1-a.1",
    listHolders: () => [],
  });
  const { lookUpAttempt } = parts;
  const claims = new EntryClaims({
    store,
    clock,
    createId,
    lookUpAttempt,
    pending,
  });
  return { claims, pending };
}

export function readClaims(store: FakeStore): Claim[] {
  return store.listAll("claims/").map(({ value }) => value as Claim);
}

export const ANSWER = {
  status: 201,
  contentType: "text/plain",
  body: TEXT_ENCODER.encode("made"),
};
