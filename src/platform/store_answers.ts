/**
 * Parses answers of the store. Their values are counted before, since JSON of a
 * few megabytes may take ten times as much in memory.
 */

import { err, ok, type Result } from "neverthrow";
import {
  countValues,
  LIST_VALUES_SHARE,
  MAX_STORE_LIST_BYTES,
  MAX_STORE_VALUES,
  type MemoryBudget,
  RECEIVED_REFUSAL,
  receivedMemory,
  SENDER,
} from "../adapters/received/index.js";
import { STORE_FAILURE, type StoreFailure } from "./failures.js";

/** Which call an answer is to. */
export interface AnswerUse {
  readonly kind: string;
  /** One page of a list, whose objects are kept until its last page. */
  readonly isPage: boolean;
}

export interface ParsedAnswer {
  readonly body: unknown;
  /** Its size in memory, in bytes of an answer with usual values. */
  readonly weightBytes: number;
}

export class StoreAnswers {
  readonly #budget: MemoryBudget;
  /** Values of the pages of the last list, by kind. */
  readonly #listValues = new Map<string, number>();

  constructor(budget: MemoryBudget = receivedMemory) {
    this.#budget = budget;
  }

  /** Called when the last list of the kind has ended. */
  releaseList(kind: string): void {
    this.#budget.releaseValues(this.#listValues.get(kind) ?? 0);
    this.#listValues.delete(kind);
  }

  parse(data: Buffer, use: AnswerUse): Result<ParsedAnswer, StoreFailure> {
    const { kind, isPage } = use;
    const values = countValues(data);
    const maxValues = Math.min(MAX_STORE_VALUES, this.#budget.maxValues);
    if (values > maxValues) {
      this.#budget.report(SENDER.store, RECEIVED_REFUSAL.manyItems);
      const detail = `Answer exceeds ${maxValues} values`;
      return err({ kind: STORE_FAILURE.tooLarge, detail });
    }
    if (!this.#budget.reserveValues(values)) {
      const { noMemory } = RECEIVED_REFUSAL;
      this.#budget.report(SENDER.store, noMemory);
      const detail = `Answer is refused: ${noMemory}`;
      return err({ kind: STORE_FAILURE.noAnswer, detail });
    }
    if (isPage) {
      const earlier = this.#listValues.get(kind) ?? 0;
      this.#listValues.set(kind, earlier + values);
    } else {
      // Whoever waits for the answer decodes it in this turn.
      setImmediate(() => this.#budget.releaseValues(values));
    }
    const maxListValues = LIST_VALUES_SHARE * this.#budget.maxValues;
    const weightBytes = Math.max(
      data.length,
      (values / maxListValues) * MAX_STORE_LIST_BYTES,
    );
    return parseJson(data).map((body) => ({ body, weightBytes }));
  }
}

export function parseJson(data: Buffer): Result<unknown, StoreFailure> {
  try {
    return ok(JSON.parse(data.toString("utf8")));
  } catch (error) {
    return err({ kind: STORE_FAILURE.malformed, detail: String(error) });
  }
}
