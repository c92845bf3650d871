/** Seeded choices of the soak test. */

import { createRandom } from "../standins/random.js";

export class Random {
  readonly #next: () => number;

  constructor(seed: number) {
    this.#next = createRandom(seed);
  }

  /** Uniform in 0..1. */
  next(): number {
    return this.#next();
  }

  chance(share: number): boolean {
    return this.#next() < share;
  }

  /** Whole number from `low` to `high`, both included. */
  pickInteger(low: number, high: number): number {
    return low + Math.floor(this.#next() * (high - low + 1));
  }

  pick<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.#next() * items.length)];
    if (item === undefined) throw new Error("Cannot pick from an empty list");
    return item;
  }

  chooseWeighted<T extends { readonly weight: number }>(
    items: readonly T[],
  ): T {
    const total = items.reduce((sum, item) => sum + item.weight, 0);
    let remainingWeight = this.#next() * total;
    for (const item of items) {
      remainingWeight -= item.weight;
      if (remainingWeight < 0) return item;
    }
    return this.pick(items);
  }

  shuffle<T>(items: readonly T[]): T[] {
    return items
      .map((item) => ({ item, rank: this.#next() }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ item }) => item);
  }
}
