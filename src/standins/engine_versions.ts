/** Loaded versions of the engine stand-in, and the orders it received. */

export interface Order {
  readonly kind: "load" | "unload";
  readonly version: string;
  /** Fencing number; a later holder of the lease has a higher one. */
  readonly fence: number;
}

interface OrderEntry extends Order {
  readonly atMs: number;
  endAtMs?: number;
  readonly refused: boolean;
  /** The fencing number is lower than that of an earlier accepted order. */
  readonly stale: boolean;
  /** Accepted while an order with another fencing number was unfinished. */
  readonly overlapping: boolean;
}

export class EngineVersions {
  readonly loaded: Set<string>;
  /** Every order received, oldest first. */
  readonly record: OrderEntry[] = [];
  #highestFence = 0;
  readonly #pendingEntries = new Set<OrderEntry>();
  readonly #onChange: () => void;

  constructor(versions: string[], onChange: () => void) {
    this.loaded = new Set(versions);
    this.#onChange = onChange;
  }

  get highestFence(): number {
    return this.#highestFence;
  }

  get loading(): string[] {
    return [...this.#pendingEntries]
      .filter((entry) => entry.kind === "load")
      .map((entry) => entry.version);
  }

  /** Starts an order; returns false if its fencing number is refused as old. */
  accept(
    order: Order,
    options: { refuseOldFences: boolean; loadMs: number },
  ): boolean {
    const stale = order.fence < this.#highestFence;
    const refused = stale && options.refuseOldFences;
    const overlapping = [...this.#pendingEntries].some(
      (other) => other.fence !== order.fence,
    );
    const entry: OrderEntry = {
      ...order,
      atMs: Date.now(),
      refused,
      stale,
      overlapping: overlapping && !refused,
    };
    this.record.push(entry);
    if (refused) return false;
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    this.#pendingEntries.add(entry);
    const needsLoad = order.kind === "load" && !this.loaded.has(order.version);
    const durationMs = needsLoad ? options.loadMs : 0;
    setTimeout(() => this.#end(entry), durationMs).unref();
    return true;
  }

  #end(entry: OrderEntry): void {
    entry.endAtMs = Date.now();
    this.#pendingEntries.delete(entry);
    if (entry.kind === "load") this.loaded.add(entry.version);
    else this.loaded.delete(entry.version);
    this.#onChange();
  }
}
