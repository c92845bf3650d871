/** Cuts links; cuts of the same link may overlap. */

import type { CutOptions, Link } from "../standins/link.js";
import { delay } from "../testbed/delay.js";

export class LinkCuts {
  /** Number of cuts now, by link; it heals when the last one ends. */
  readonly #activeCutCounts = new Map<Link, number>();

  async cut(
    links: readonly Link[],
    options: CutOptions,
    durationMs: number,
  ): Promise<boolean> {
    await this.cutUntil(links, options, delay(durationMs));
    return true;
  }

  async cutUntil(
    links: readonly Link[],
    options: CutOptions,
    cutEnd: Promise<void>,
  ): Promise<void> {
    for (const link of links) {
      this.#activeCutCounts.set(
        link,
        (this.#activeCutCounts.get(link) ?? 0) + 1,
      );
      link.cut(options);
    }
    await cutEnd;
    for (const link of links) {
      const remaining = (this.#activeCutCounts.get(link) ?? 1) - 1;
      this.#activeCutCounts.set(link, remaining);
      if (remaining === 0) link.heal();
    }
  }
}
