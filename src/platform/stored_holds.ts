/**
 * Keeps the held prompt parts in the platform's store, so that entries that all
 * start anew know them.
 */

import type { Logger } from "../adapters/logger.js";
import { pauseFor } from "../adapters/pause_for.js";
import { hashSha256, serializeCanonical } from "../core/canonical.js";
import {
  type HeldParts,
  HOLD_SOURCE,
  type PromptHolds,
} from "../proxy/index.js";
import { STORE_FAILURE, type StoreFailure } from "./failures.js";
import { getNumber, getTexts, isFields } from "./fields.js";
import { PROMPT_HOLD_KIND, type StoreClient } from "./store_client.js";

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
    const reports = page.value.objects.flatMap(({ name, spec }) => {
      const parts = isFields(spec) ? getTexts(spec, "parts") : [];
      if (!isFields(spec) || parts.length === 0) {
        log.warn("prompt-hold-skipped", { name });
        return [];
      }
      const heldAtMs = getNumber(spec, "held_at_ms") ?? 0;
      return [
        {
          parts,
          isHeld: true,
          crashes: getNumber(spec, "crashes") ?? 0,
          failedTrials: getNumber(spec, "failed_trials") ?? 0,
          ageMs: Math.max(0, readWallClockMs() - heldAtMs),
        },
      ];
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

function createName(parts: readonly string[]): string {
  const text = serializeCanonical([...parts].sort());
  return hashSha256(text).slice(0, NAME_LENGTH);
}
