/** Hands answers in for late ratings and reads the ratings of this entry. */

import { LRUCache } from "lru-cache";
import type { AnswerToRate, Logger, RatingService } from "../adapters/index.js";
import type { SloEvent } from "../core/index.js";
import { waitFor } from "../runtime/run_with_timeout.js";

export interface RatingIncrease {
  readonly requestClass: string;
  readonly version: string;
  readonly accepted: number;
  readonly rejected: number;
}

export interface RatingCollectorOptions {
  readonly service: RatingService;
  readonly log: Logger;
  readonly onRating: (increase: RatingIncrease, event: SloEvent) => void;
}

const POLL_MS = 1_000;
/** Answers of this entry whose rating may still come. */
const MAX_OPEN_ANSWERS = 20_000;

export class RatingCollector {
  readonly #options: RatingCollectorOptions;
  readonly #open = new LRUCache<string, SloEvent>({ max: MAX_OPEN_ANSWERS });
  #cursor = 0;
  #signal: AbortSignal = new AbortController().signal;

  constructor(options: RatingCollectorOptions) {
    this.#options = options;
  }

  /** Best effort: a lost answer is only one rating less. */
  submit(answer: AnswerToRate, event: SloEvent): void {
    this.#open.set(answer.requestId, event);
    void this.#options.service.submitForRating(answer, this.#signal);
  }

  async start(signal: AbortSignal): Promise<void> {
    this.#signal = signal;
    while (!signal.aborted) {
      await waitFor(POLL_MS, signal);
      if (!signal.aborted) await this.#read(signal);
    }
  }

  async #read(signal: AbortSignal): Promise<void> {
    const page = await this.#options.service.readRatings(this.#cursor, signal);
    if (page.isErr()) {
      this.#options.log.debug("ratings-failed", { kind: page.error.kind });
      return;
    }
    this.#cursor = page.value.next;
    for (const rating of page.value.ratings) {
      // Other entries count the ratings of their own answers and share totals.
      const event = this.#open.get(rating.requestId);
      if (event === undefined) continue;
      this.#open.delete(rating.requestId);
      const { requestClass, version, accepted: isAccepted } = rating;
      const accepted = isAccepted ? 1 : 0;
      this.#options.onRating(
        { requestClass, version, accepted, rejected: 1 - accepted },
        event,
      );
    }
  }
}
