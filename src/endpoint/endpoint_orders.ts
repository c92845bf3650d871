/**
 * Orders the engine to load the versions that the fleet state assigns to the
 * endpoint. Only the holder of the engine's lease orders, and a load needs one
 * of a few weight slots, since the weight store is rate-limited.
 */

import type { ResultAsync } from "neverthrow";
import type { ObjectStore } from "../adapters/index.js";
import type { ConfigView } from "../configuration/config_view.js";
import { waitFor } from "../runtime/run_with_timeout.js";
import type { BackendFailure } from "./endpoint_backend.js";
import type { EndpointLog } from "./endpoint_runner.js";
import { LeaseHolder } from "./lease_holder.js";

export interface LoadOrder {
  readonly kind: "load";
  readonly version: string;
  /** An engine may refuse a number below the highest it has seen. */
  readonly fence: number;
}

/** Gives its answer when the version is loaded. */
export type OrderEngine = (
  order: LoadOrder,
  signal: AbortSignal,
) => ResultAsync<unknown, BackendFailure>;

export interface EngineOrdersOptions {
  readonly endpoint: string;
  /** That of the endpoint's process: new at each start. */
  readonly epoch: string;
  readonly honoursFencing: boolean;
  readonly config: ConfigView;
  readonly store: ObjectStore;
  readonly orderEngine: OrderEngine;
  /** Versions that the engine has loaded; `undefined` when unknown. */
  readonly listLoaded: () => readonly string[] | undefined;
  readonly log: EndpointLog;
  readonly getNowMs: () => number;
  /** Gives a number from 0 up to 1; spreads endpoints over the slots. */
  readonly getRandom: () => number;
  readonly leaseMs?: number;
}

const LEASE_MS = 15_000;
/** Loads at once in the whole fleet. */
export const WEIGHT_SLOTS = 4;
const RENEWALS_PER_LEASE = 5;
const PERIOD_MS = 1_000;
/** A release must also go out when the process stops. */
const RELEASE_MS = 1_000;
const MAX_BACKOFF_MS = 60_000;
/**
 * Mean wait for a weight slot. 930 endpoints that wait at once then make about
 * 310 reads and 62 writes a second, of the store's 2,000 and several hundred.
 */
const SLOT_WAIT_MS = 15_000;

/** What became of one attempt to load a version. */
export type LoadOutcome =
  | "loaded"
  | "no-lease"
  | "no-slot"
  | "not-needed"
  | "lost"
  | "failed";

export class EngineOrders {
  readonly #options: EngineOrdersOptions;
  readonly #engine: LeaseHolder;
  readonly #slots: LeaseHolder[];
  readonly #leaseMs: number;

  constructor(options: EngineOrdersOptions) {
    this.#options = options;
    this.#leaseMs = options.leaseMs ?? LEASE_MS;
    const { endpoint, honoursFencing } = options;
    this.#engine = this.#createLease(
      `leases/engine/${endpoint}`,
      honoursFencing,
    );
    // The weight store knows no fencing, so its leases are waited out.
    const first = Math.floor(options.getRandom() * WEIGHT_SLOTS);
    this.#slots = Array.from({ length: WEIGHT_SLOTS }, (_, index) =>
      this.#createLease(
        `leases/weights/${(first + index) % WEIGHT_SLOTS}`,
        false,
      ),
    );
  }

  /** The next assigned, active version that the engine lacks. */
  findMissing(): string | undefined {
    const { config, endpoint, listLoaded } = this.#options;
    const loaded = listLoaded();
    if (loaded === undefined) return undefined;
    const { endpoints, versions } = config.state;
    return endpoints[endpoint]?.versions.find(
      (name) => versions[name]?.state === "active" && !loaded.includes(name),
    );
  }

  /** Loads one version when both leases are to be had. */
  async load(version: string, signal: AbortSignal): Promise<LoadOutcome> {
    if (!(await this.#engine.acquire(signal))) return "no-lease";
    const slot = await this.#acquireSlot(signal);
    if (slot === undefined) return "no-slot";
    try {
      // The assignment may have changed while the leases were awaited.
      if (this.findMissing() !== version) return "not-needed";
      return await this.#order(version, slot, signal);
    } finally {
      await slot.release(AbortSignal.timeout(RELEASE_MS));
    }
  }

  /** Frees the engine's lease when there is nothing more to order. */
  async release(signal: AbortSignal): Promise<void> {
    await this.#engine.release(signal);
  }

  #createLease(key: string, takesOverAtOnce: boolean): LeaseHolder {
    const { endpoint, epoch, store, getNowMs } = this.#options;
    return new LeaseHolder({
      key,
      store,
      getNowMs,
      holder: endpoint,
      epoch,
      lengthMs: this.#leaseMs,
      takesOverAtOnce,
    });
  }

  async #acquireSlot(signal: AbortSignal): Promise<LeaseHolder | undefined> {
    for (const slot of this.#slots) {
      if (await slot.acquire(signal)) return slot;
    }
    return undefined;
  }

  async #order(
    version: string,
    slot: LeaseHolder,
    signal: AbortSignal,
  ): Promise<LoadOutcome> {
    const { orderEngine, log, endpoint } = this.#options;
    const isHeld = () => this.#engine.isHeld() && slot.isHeld();
    const stop = new AbortController();
    const renewing = this.#renewUntil(slot, isHeld, stop);
    try {
      // The last check before the call: the process may have been paused.
      if (!isHeld()) return "lost";
      const fence = this.#engine.fencing;
      const order = { kind: "load", version, fence } as const;
      const anySignal = AbortSignal.any([signal, stop.signal]);
      const result = await orderEngine(order, anySignal);
      if (!isHeld()) {
        log.warn({ endpoint, version, fence }, "lease lost during an order");
        return "lost";
      }
      if (result.isOk()) return "loaded";
      const { kind, detail } = result.error;
      log.warn({ endpoint, version, fence, kind, detail }, "order failed");
      return "failed";
    } finally {
      stop.abort();
      await renewing;
    }
  }

  /** Renews both leases; ends the order as soon as one is lost. */
  async #renewUntil(
    slot: LeaseHolder,
    isHeld: () => boolean,
    stop: AbortController,
  ): Promise<void> {
    const { signal } = stop;
    while (!signal.aborted) {
      await waitFor(this.#leaseMs / RENEWALS_PER_LEASE, signal);
      if (signal.aborted) return;
      await Promise.all([this.#engine.renew(signal), slot.renew(signal)]);
      if (!isHeld()) stop.abort();
    }
  }
}

/** Keeps the engine's versions as assigned until the signal aborts. */
export async function runEngineOrders(
  options: EngineOrdersOptions,
  signal: AbortSignal,
): Promise<void> {
  const { endpoint, log } = options;
  const orders = new EngineOrders(options);
  let backoffMs = PERIOD_MS;
  while (!signal.aborted) {
    const version = orders.findMissing();
    if (version === undefined) {
      await orders.release(signal);
      await waitFor(PERIOD_MS, signal);
      continue;
    }
    const outcome = await orders.load(version, signal);
    log.info({ endpoint, version, outcome }, "engine order ended");
    const hasFailed = outcome === "failed" || outcome === "lost";
    backoffMs = hasFailed ? Math.min(MAX_BACKOFF_MS, backoffMs * 2) : PERIOD_MS;
    const slotWaitMs = SLOT_WAIT_MS * (0.5 + options.getRandom());
    await waitFor(outcome === "no-slot" ? slotWaitMs : backoffMs, signal);
  }
  // The process stops: the next holder need not wait the lease out.
  await orders.release(AbortSignal.timeout(RELEASE_MS));
}
