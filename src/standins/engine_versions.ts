/** Versions that the engine stand-in has loaded, and the orders it was given. */

export interface Order {
  readonly kind: "load" | "unload";
  readonly version: string;
  readonly fence: number;
}

interface OrderEntry extends Order {
  readonly atMs: number;
  endAtMs?: number;
  readonly refused: boolean;
  /** The fencing number is lower than one seen before. */
  readonly stale: boolean;
  /** An order with another fencing number was still being carried out. */
  readonly overlapping: boolean;
}

export class EngineVersions {
  readonly loaded: Set<string>;
  readonly record: OrderEntry[] = [];
  #highestFence = 0;
  readonly #running = new Set<OrderEntry>();
  readonly #onChange: () => void;

  constructor(versions: string[], onChange: () => void) {
    this.loaded = new Set(versions);
    this.#onChange = onChange;
  }

  get highestFence(): number {
    return this.#highestFence;
  }

  get loading(): string[] {
    return [...this.#running]
      .filter((entry) => entry.kind === "load")
      .map((entry) => entry.version);
  }

  /** Starts an order; false when it is refused for its old fencing number. */
  accept(order: Order, options: { honour: boolean; loadMs: number }): boolean {
    const stale = order.fence < this.#highestFence;
    const refused = stale && options.honour;
    const overlapping = [...this.#running].some(
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
    this.#running.add(entry);
    const loads = order.kind === "load" && !this.loaded.has(order.version);
    const takesMs = loads ? options.loadMs : 0;
    setTimeout(() => this.#end(entry), takesMs).unref();
    return true;
  }

  #end(entry: OrderEntry): void {
    entry.endAtMs = Date.now();
    this.#running.delete(entry);
    if (entry.kind === "load") this.loaded.add(entry.version);
    else this.loaded.delete(entry.version);
    this.#onChange();
  }
}
