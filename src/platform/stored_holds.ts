/**
 * Keeps the held prompt parts in the platform's store, so that entries that all
 * start anew know them.
 */

import { err, ok, type Result } from "neverthrow";
import type { Logger } from "../adapters/logger.js";
import { pauseFor } from "../adapters/pause_for.js";
import { hashSha256, serializeCanonical } from "../core/canonical.js";
import {
  type HeldParts,
  HOLD_SOURCE,
  MAX_PART_ID_LENGTH,
  MAX_PROMPT_PARTS,
  type PromptHolds,
} from "../proxy/index.js";
import {
  createDecodeFailure,
  type DecodeFailure,
  STORE_FAILURE,
  type StoreFailure,
} from "./failures.js";
import { getCount, getList, getTexts, isFields } from "./fields.js";
import {
  PROMPT_HOLD_KIND,
  type StoreClient,
  type StoredObject,
} from "./store_client.js";

/** Pause after a call that failed, ms. */
const RETRY_PAUSE_MS = 1_000;
/** Most attempts of one write; entries hold the parts without it as well. */
const MAX_WRITES = 60;
const NAME_LENGTH = 32;

export interface StoredHoldsOptions {
  readonly store: Pick<StoreClient, "list" | "put" | "delete">;
  readonly promptHolds: Pick<PromptHolds, "mergeHolds">;
  /** Clock of `HeldParts.changedAtMs`, ms. */
  readonly now: () => number;
  /** Unix time, ms. */
  readonly readWallClockMs: () => number;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

export class StoredHolds {
  readonly #options: StoredHoldsOptions;

  constructor(options: StoredHoldsOptions) {
    this.#options = options;
  }

  /** Reads the holds once, as soon as the store answers. */
  async load(): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted) {
      if (await this.#read()) return;
      await pauseFor(RETRY_PAUSE_MS, signal);
    }
  }

  async #read(): Promise<boolean> {
    const { store, promptHolds, readWallClockMs, log } = this.#options;
    const page = await store.list(PROMPT_HOLD_KIND, undefined);
    if (page.isErr()) return page.error.kind === STORE_FAILURE.notFound;
    const reports = page.value.objects.flatMap((object) => {
      const held = decodeHold(object);
      if (held.isOk()) {
        const { heldAtMs, ...counts } = held.value;
        const ageMs = Math.max(0, readWallClockMs() - heldAtMs);
        return [{ ...counts, isHeld: true, ageMs }];
      }
      const name = object.name.slice(0, NAME_LENGTH);
      log.warn("prompt-hold-skipped", { name, reason: held.error.detail });
      return [];
    });
    promptHolds.mergeHolds(reports, HOLD_SOURCE.store);
    return true;
  }

  async write(held: HeldParts): Promise<void> {
    const { store, now, readWallClockMs } = this.#options;
    const { parts, crashes, failedTrials, changedAtMs } = held;
    const ageMs = now() - changedAtMs;
    const spec = {
      parts,
      crashes,
      failed_trials: failedTrials,
      held_at_ms: Math.round(readWallClockMs() - ageMs),
    };
    await this.#repeat("prompt-hold-write-failed", async () => {
      const result = await store.put(PROMPT_HOLD_KIND, createName(parts), spec);
      return result.isErr() ? result.error : undefined;
    });
  }

  async remove({ parts }: HeldParts): Promise<void> {
    await this.#repeat("prompt-hold-delete-failed", async () => {
      const result = await this.#options.store.delete(
        PROMPT_HOLD_KIND,
        createName(parts),
      );
      if (result.isOk()) return undefined;
      const isGone = result.error.kind === STORE_FAILURE.notFound;
      return isGone ? undefined : result.error;
    });
  }

  async #repeat(
    event: string,
    call: () => Promise<StoreFailure | undefined>,
  ): Promise<void> {
    const { signal, log } = this.#options;
    for (let i = 0; i < MAX_WRITES && !signal.aborted; i++) {
      const failure = await call();
      if (failure === undefined) return;
      if (i === 0) log.warn(event, { reason: failure.kind });
      await pauseFor(RETRY_PAUSE_MS, signal);
    }
  }
}

interface StoredHold {
  readonly parts: string[];
  readonly crashes: number;
  readonly failedTrials: number;
  /** Unix time, ms. */
  readonly heldAtMs: number;
}

/** Holds reach every entry in messages, so odd ones are left out here. */
function decodeHold({
  spec,
}: Pick<StoredObject, "spec">): Result<StoredHold, DecodeFailure> {
  const fields = isFields(spec) ? spec : {};
  const parts = getTexts(fields, "parts");
  const isValidPart = (id: string) =>
    id !== "" && id.length <= MAX_PART_ID_LENGTH;
  if (parts.length === 0 || parts.length > MAX_PROMPT_PARTS) {
    return err(createDecodeFailure("parts are missing or too many"));
  }
  if (parts.length !== getList(fields, "parts").length) {
    return err(createDecodeFailure("a part is not a text"));
  }
  if (!parts.every(isValidPart)) {
    return err(createDecodeFailure("a part is empty or too long"));
  }
  const crashes = getCount(fields, "crashes");
  const failedTrials = getCount(fields, "failed_trials");
  const heldAtMs = getCount(fields, "held_at_ms");
  if (
    crashes === undefined ||
    failedTrials === undefined ||
    heldAtMs === undefined
  ) {
    return err(createDecodeFailure("a count or the time is not valid"));
  }
  return ok({ parts, crashes, failedTrials, heldAtMs });
}

function createName(parts: readonly string[]): string {
  const text = serializeCanonical([...parts].sort());
  return hashSha256(text).slice(0, NAME_LENGTH);
}
