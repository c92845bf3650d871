/** Cuts of links, which may overlap. */

import type { CutOptions, Link } from "../standins/link.js";
import { delay } from "../testbed/delay.js";

export class Cuts {
  /** Cuts of each link now; it heals with the end of the last one. */
  readonly #counts = new Map<Link, number>();

  async cut(
    links: readonly Link[],
    options: CutOptions,
    forMs: number,
  ): Promise<boolean> {
    await this.cutUntil(links, options, delay(forMs));
    return true;
  }

  async cutUntil(
    links: readonly Link[],
    options: CutOptions,
    healing: Promise<void>,
  ): Promise<void> {
    for (const link of links) {
      this.#counts.set(link, (this.#counts.get(link) ?? 0) + 1);
      link.cut(options);
    }
    await healing;
    for (const link of links) {
      const left = (this.#counts.get(link) ?? 1) - 1;
      this.#counts.set(link, left);
      if (left === 0) link.heal();
    }
  }
}
