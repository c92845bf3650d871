/** Submits an entry's answers for rating and reads the ratings later. */

import { LRUCache } from "lru-cache";
import type { AnswerToRate, Logger, RatingService } from "../adapters/index.js";
import type { RatingIncrease, SloEvent } from "../core/index.js";
import { waitFor } from "../runtime/run_with_timeout.js";

export interface RatingCollectorOptions {
  readonly service: RatingService;
  readonly log: Logger;
  readonly onRating: (increase: RatingIncrease, event: SloEvent) => void;
}

const POLL_PERIOD_MS = 1_000;
/** Answers of this entry that may still get a rating. */
const MAX_UNRATED_ANSWERS = 20_000;

export class RatingCollector {
  readonly #options: RatingCollectorOptions;
  readonly #unratedEvents = new LRUCache<string, SloEvent>({
    max: MAX_UNRATED_ANSWERS,
  });
  #cursor = 0;
  #signal: AbortSignal = new AbortController().signal;

  constructor(options: RatingCollectorOptions) {
    this.#options = options;
  }

  /** Makes one attempt, as a lost answer only means one rating less. */
  submit(answer: AnswerToRate, event: SloEvent): void {
    this.#unratedEvents.set(answer.requestId, event);
    void this.#options.service.submitForRating(answer, this.#signal);
  }

  async start(signal: AbortSignal): Promise<void> {
    this.#signal = signal;
    while (!signal.aborted) {
      await waitFor(POLL_PERIOD_MS, signal);
      if (!signal.aborted) await this.#readRatings(signal);
    }
  }

  async #readRatings(signal: AbortSignal): Promise<void> {
    const page = await this.#options.service.readRatings(this.#cursor, signal);
    if (page.isErr()) {
      this.#options.log.debug("ratings-failed", { kind: page.error.kind });
      return;
    }
    this.#cursor = page.value.next;
    for (const rating of page.value.ratings) {
      // Each entry counts the ratings of its own answers and shares its totals.
      const event = this.#unratedEvents.get(rating.requestId);
      if (event === undefined) continue;
      this.#unratedEvents.delete(rating.requestId);
      const { requestClass, version, accepted: isAccepted } = rating;
      const accepted = isAccepted ? 1 : 0;
      this.#options.onRating(
        { requestClass, version, accepted, rejected: 1 - accepted },
        event,
      );
    }
  }
}
