/**
 * Orders the engine to load the versions that the fleet state assigns to the
 * endpoint. Only the holder of the engine's lease sends orders. Each load also
 * needs one of a few weight slots, since the weight store is rate-limited.
 */

import type { ResultAsync } from "neverthrow";
import type { ObjectStore } from "../adapters/index.js";
import type { ConfigView } from "../configuration/config_view.js";
import { waitFor } from "../runtime/run_with_timeout.js";
import type { EndpointLog } from "./endpoint_runner.js";
import { LeaseHolder } from "./lease_holder.js";
import type { BackendFailure } from "./run_backend.js";

export interface LoadOrder {
  readonly kind: "load";
  readonly version: string;
  /** Fencing number; an engine may refuse one below the highest it has seen. */
  readonly fence: number;
}

/** Resolves when the engine has loaded the version. */
export type SendLoadOrder = (
  order: LoadOrder,
  signal: AbortSignal,
) => ResultAsync<unknown, BackendFailure>;

export interface VersionLoaderOptions {
  readonly endpoint: string;
  /** Epoch of the endpoint process, new at each start. */
  readonly epoch: string;
  readonly honoursFencing: boolean;
  readonly config: ConfigView;
  readonly store: ObjectStore;
  readonly sendLoadOrder: SendLoadOrder;
  /** Versions that the engine has loaded; `undefined` when unknown. */
  readonly listLoadedVersions: () => readonly string[] | undefined;
  readonly log: EndpointLog;
  readonly getNowMs: () => number;
  /** Returns a number in [0, 1) that spreads endpoints over the slots. */
  readonly getRandom: () => number;
  readonly leaseMs?: number;
}

const DEFAULT_LEASE_MS = 15_000;
/** Maximum number of concurrent loads in the whole fleet. */
export const WEIGHT_SLOT_COUNT = 4;
const RENEWALS_PER_LEASE = 5;
const CHECK_PERIOD_MS = 1_000;
/** Has a timeout of its own, as it must also be sent when the process stops. */
const RELEASE_TIMEOUT_MS = 1_000;
const MAX_BACKOFF_MS = 60_000;
/**
 * Mean time between two attempts to get a weight slot. With 930 endpoints
 * waiting, this makes about 310 reads and 62 writes per second; the store
 * allows 2,000 reads and several hundred writes.
 */
const MEAN_SLOT_WAIT_MS = 15_000;

/** Outcome of one attempt to load a version. */
export type LoadOutcome =
  | "loaded"
  | "no-lease"
  | "no-slot"
  | "not-needed"
  | "lost"
  | "failed";

export class VersionLoader {
  readonly #options: VersionLoaderOptions;
  readonly #engineLease: LeaseHolder;
  readonly #weightSlots: LeaseHolder[];
  readonly #leaseMs: number;

  constructor(options: VersionLoaderOptions) {
    this.#options = options;
    this.#leaseMs = options.leaseMs ?? DEFAULT_LEASE_MS;
    const { endpoint, honoursFencing } = options;
    this.#engineLease = this.#createLease(
      `leases/engine/${endpoint}`,
      honoursFencing,
    );
    // The weight store does not check fencing numbers, so an old lease must
    // expire before the slot is taken over.
    const firstSlot = Math.floor(options.getRandom() * WEIGHT_SLOT_COUNT);
    this.#weightSlots = Array.from({ length: WEIGHT_SLOT_COUNT }, (_, index) =>
      this.#createLease(
        `leases/weights/${(firstSlot + index) % WEIGHT_SLOT_COUNT}`,
        false,
      ),
    );
  }

  /** The next assigned, active version that the engine has not loaded. */
  findMissingVersion(): string | undefined {
    const { config, endpoint, listLoadedVersions } = this.#options;
    const loaded = listLoadedVersions();
    if (loaded === undefined) return undefined;
    const { endpoints, versions } = config.state;
    return endpoints[endpoint]?.versions.find(
      (name) => versions[name]?.state === "active" && !loaded.includes(name),
    );
  }

  /** Loads a version if the engine lease and a weight slot can be acquired. */
  async load(version: string, signal: AbortSignal): Promise<LoadOutcome> {
    if (!(await this.#engineLease.acquire(signal))) return "no-lease";
    const slot = await this.#acquireSlot(signal);
    if (slot === undefined) return "no-slot";
    try {
      // The assignment may have changed while the leases were acquired.
      if (this.findMissingVersion() !== version) return "not-needed";
      return await this.#sendOrder(version, slot, signal);
    } finally {
      await slot.release(AbortSignal.timeout(RELEASE_TIMEOUT_MS));
    }
  }

  /** Releases the engine lease, so that another process may acquire it. */
  async release(signal: AbortSignal): Promise<void> {
    await this.#engineLease.release(signal);
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
    for (const slot of this.#weightSlots) {
      if (await slot.acquire(signal)) return slot;
    }
    return undefined;
  }

  async #sendOrder(
    version: string,
    slot: LeaseHolder,
    signal: AbortSignal,
  ): Promise<LoadOutcome> {
    const { sendLoadOrder, log, endpoint } = this.#options;
    const areLeasesHeld = () => this.#engineLease.isHeld() && slot.isHeld();
    const stop = new AbortController();
    const renewal = this.#renewLeases(slot, areLeasesHeld, stop);
    try {
      // Last check before the call, as the process may have been paused.
      if (!areLeasesHeld()) return "lost";
      const fence = this.#engineLease.fencing;
      const order = { kind: "load", version, fence } as const;
      const orderSignal = AbortSignal.any([signal, stop.signal]);
      const result = await sendLoadOrder(order, orderSignal);
      if (!areLeasesHeld()) {
        log.warn(
          { endpoint, version, fence },
          "lease lost during a load order",
        );
        return "lost";
      }
      if (result.isOk()) return "loaded";
      const { kind, detail } = result.error;
      log.warn({ endpoint, version, fence, kind, detail }, "load order failed");
      return "failed";
    } finally {
      stop.abort();
      await renewal;
    }
  }

  /** Renews both leases; aborts the order as soon as one is lost. */
  async #renewLeases(
    slot: LeaseHolder,
    areLeasesHeld: () => boolean,
    stop: AbortController,
  ): Promise<void> {
    const { signal } = stop;
    while (!signal.aborted) {
      await waitFor(this.#leaseMs / RENEWALS_PER_LEASE, signal);
      if (signal.aborted) return;
      await Promise.all([this.#engineLease.renew(signal), slot.renew(signal)]);
      if (!areLeasesHeld()) stop.abort();
    }
  }
}

/** Until the signal aborts, loads assigned versions that are missing. */
export async function runVersionLoader(
  options: VersionLoaderOptions,
  signal: AbortSignal,
): Promise<void> {
  const { endpoint, log } = options;
  const loader = new VersionLoader(options);
  let backoffMs = CHECK_PERIOD_MS;
  while (!signal.aborted) {
    const version = loader.findMissingVersion();
    if (version === undefined) {
      await loader.release(signal);
      await waitFor(CHECK_PERIOD_MS, signal);
      continue;
    }
    const outcome = await loader.load(version, signal);
    log.info({ endpoint, version, outcome }, "attempt to load a version ended");
    const mustBackOff = outcome === "failed" || outcome === "lost";
    backoffMs = mustBackOff
      ? Math.min(MAX_BACKOFF_MS, backoffMs * 2)
      : CHECK_PERIOD_MS;
    const slotWaitMs = MEAN_SLOT_WAIT_MS * (0.5 + options.getRandom());
    await waitFor(outcome === "no-slot" ? slotWaitMs : backoffMs, signal);
  }
  // On a stop, release the lease so that the next holder need not await it.
  await loader.release(AbortSignal.timeout(RELEASE_TIMEOUT_MS));
}
