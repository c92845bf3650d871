/** Reads many objects of the store with a limited number of list calls. */

import { err, ok, type Result } from "neverthrow";
import type {
  ObjectStore,
  StoredObject,
  StoreFailure,
} from "../adapters/index.js";
import { getPageKey, getPagePrefix } from "../core/index.js";
import type { LedgerPage } from "../schema/index.js";
import { callStore } from "./store_calls.js";

/** Objects in one list call; about 4 MB with ledger pages of 0.5 MB. */
const LIST_PAGE_SIZE = 8;

/** Limit for one report; a few seconds at the store's read rate. */
export const MAX_REPORT_LIST_CALLS = 20_000;

/** Receipts enter pages nearly in order of time; covers the deviation. */
const ORDER_SLACK_MS = 5 * 60_000;

/** Sorts after every character that keys contain. */
const AFTER_LAST_CHARACTER = "~";

export class StoreScan {
  readonly #store: ObjectStore;
  readonly #signal: AbortSignal;
  readonly #maxCalls: number;
  #calls = 0;

  constructor(
    store: ObjectStore,
    options: { signal: AbortSignal; maxCalls?: number },
  ) {
    this.#store = store;
    this.#signal = options.signal;
    this.#maxCalls = options.maxCalls ?? MAX_REPORT_LIST_CALLS;
  }

  /** False once the limit on calls has cut the scan short. */
  get isComplete(): boolean {
    return this.#calls <= this.#maxCalls;
  }

  async #list(options: {
    prefix: string;
    after?: string;
    limit: number;
  }): Promise<Result<StoredObject[], StoreFailure>> {
    this.#calls += 1;
    if (!this.isComplete) return ok([]);
    return callStore({ signal: this.#signal }, (signal) =>
      this.#store.list(options, signal),
    );
  }

  /** Visits the objects under a prefix, after the key `after`. */
  async visit(
    options: { prefix: string; after?: string },
    visitor: (value: unknown) => void,
  ): Promise<Result<void, StoreFailure>> {
    let { after } = options;
    for (;;) {
      const { prefix } = options;
      const listed = await this.#list({ prefix, after, limit: LIST_PAGE_SIZE });
      if (listed.isErr()) return err(listed.error);
      for (const { value } of listed.value) visitor(value);
      after = listed.value.at(-1)?.key;
      if (after === undefined) return ok(undefined);
    }
  }

  /** Lists the owners of ledger pages, with one list call for each. */
  async listOwners(): Promise<Result<string[], StoreFailure>> {
    const owners: string[] = [];
    let after: string | undefined;
    for (;;) {
      const listed = await this.#list({ prefix: "ledger/", after, limit: 1 });
      if (listed.isErr()) return err(listed.error);
      const owner = listed.value[0]?.key.split("/")[1];
      if (owner === undefined) return ok(owners);
      if (owner !== "recovered") owners.push(owner);
      after = `${getPagePrefix(owner)}${AFTER_LAST_CHARACTER}`;
    }
  }

  /**
   * Finds the owner's last page with receipts only from before the time; 0 when
   * there is none. Exponential and then binary search, so that a report over
   * an hour does not read the pages of days.
   */
  async findPageBefore(
    owner: string,
    timeMs: number,
  ): Promise<Result<number, StoreFailure>> {
    let low = 0;
    let high = Number.POSITIVE_INFINITY;
    while (high - low > 1 && this.isComplete) {
      const probe = Number.isFinite(high)
        ? Math.floor((low + high) / 2)
        : Math.max(1, low * 2);
      const listed = await this.#list({
        prefix: getPagePrefix(owner),
        after: getPageKey(owner, probe - 1),
        limit: 1,
      });
      if (listed.isErr()) return err(listed.error);
      const page = listed.value[0]?.value as LedgerPage | undefined;
      if (isPageBefore(page, timeMs - ORDER_SLACK_MS)) low = probe;
      else high = probe;
    }
    return ok(low);
  }
}

function isPageBefore(page: LedgerPage | undefined, timeMs: number): boolean {
  if (page === undefined || page.kind === "seal") return false;
  return page.receipts.every((receipt) => receipt.atMs < timeMs);
}
