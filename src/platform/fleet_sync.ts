/** Brings what the store holds into the entry's view of the fleet. */

import type { Logger } from "../adapters/logs.js";
import type {
  FleetView,
  Freshness,
  RolloutDecision,
  SuspendClock,
} from "../proxy/index.js";
import {
  createRolloutStatus,
  decodeConfiguration,
  decodeEndpoint,
  decodeRollout,
} from "./decode_config.js";
import { STORE_FAILURE } from "./errors.js";
import {
  KIND,
  type Kind,
  type StoreClient,
  type StoredObject,
} from "./store_client.js";
import { StoreWatch, type WatchHandlers } from "./store_watch.js";

/** Name of the object with the configuration. */
const CONFIGURATION_NAME = "main";
/**
 * Waits of the watches, ms. The one of the configuration bounds how old the
 * proof is that no key was withdrawn; the others bound how long a connection
 * that went silent stays unnoticed.
 */
const WAIT_MS = {
  configuration: 2_500,
  endpoints: 4_000,
  rollouts: 8_000,
  evacuations: 6_000,
} as const;

/**
 * Part of the oldest age that serves in which the store confirms the
 * configuration; the rest is for a call that is late.
 */
const CONFIRM_SHARE = 0.7;

export interface FleetSyncOptions {
  readonly store: StoreClient;
  readonly view: FleetView;
  readonly freshness: Freshness;
  readonly clock: SuspendClock;
  readonly now: () => number;
  readonly random: () => number;
  readonly log: Logger;
  /** Oldest confirmation of the configuration that still serves, ms. */
  readonly maxConfigAgeMs: number;
  /** An endpoint is gone; its connections may be closed. */
  readonly onEndpointRemoved: (id: string) => void;
  readonly signal: AbortSignal;
}

export class FleetSync {
  readonly #options: FleetSyncOptions;
  readonly #watches: readonly StoreWatch[];
  #isConfirming = false;

  constructor(options: FleetSyncOptions) {
    this.#options = options;
    this.#watches = [
      this.#createWatch(
        KIND.configuration,
        Math.min(
          WAIT_MS.configuration,
          Math.round(CONFIRM_SHARE * options.maxConfigAgeMs),
        ),
        this.#configurationHandlers(),
      ),
      this.#createWatch(
        KIND.endpoints,
        WAIT_MS.endpoints,
        this.#endpointHandlers(),
      ),
      this.#createWatch(
        KIND.rollouts,
        WAIT_MS.rollouts,
        this.#rolloutHandlers(),
      ),
      this.#createWatch(
        KIND.evacuations,
        WAIT_MS.evacuations,
        this.#evacuationHandlers(),
      ),
    ];
  }

  /** True once every kind was read whole. */
  get isLoaded(): boolean {
    return this.#watches.every((watch) => watch.isLoaded);
  }

  async run(): Promise<void> {
    await Promise.all(this.#watches.map((watch) => watch.run()));
  }

  /** Reads the configuration at once, for a decision that can't wait. */
  async confirmNow(): Promise<void> {
    if (this.#isConfirming) return;
    this.#isConfirming = true;
    const { store, clock, freshness } = this.#options;
    const startedAtMs = clock.now();
    const object = await store.get(KIND.configuration, CONFIGURATION_NAME);
    this.#isConfirming = false;
    if (object.isErr()) return;
    this.#applyConfiguration(object.value);
    freshness.confirm(startedAtMs);
  }

  /** Writes the outcome of a rollout; false when it is to be tried again. */
  async writeOutcome(decision: RolloutDecision): Promise<boolean> {
    const { store, log } = this.#options;
    const { order, outcome, reason } = decision;
    const result = await store.putStatus(
      KIND.rollouts,
      { name: order.service, revision: order.revision },
      createRolloutStatus(order, outcome),
    );
    const isWritten = result.isOk();
    log.info("rollout-decided", {
      service: order.service,
      target: order.target,
      outcome,
      reason,
      revision: order.revision,
      written: isWritten ? "yes" : result.error.kind,
    });
    if (isWritten) {
      this.#applyRollout(result.value);
      return true;
    }
    return result.error.kind === STORE_FAILURE.notFound;
  }

  #createWatch(
    kind: Kind,
    waitMs: number,
    handlers: WatchHandlers,
  ): StoreWatch {
    const { store, clock, log, random, signal } = this.#options;
    const options = { kind, waitMs, handlers, store, clock, log, random };
    return new StoreWatch({ ...options, signal });
  }

  #configurationHandlers(): WatchHandlers {
    const apply = (object: StoredObject) => this.#applyConfiguration(object);
    return {
      onList: (objects) => objects.forEach(apply),
      onChange: apply,
      onDelete: () => {},
      onConfirm: (atMs) => this.#options.freshness.confirm(atMs),
    };
  }

  #applyConfiguration(object: StoredObject): void {
    if (object.name !== CONFIGURATION_NAME) return;
    const { view, log } = this.#options;
    const decoded = decodeConfiguration(object.spec);
    if (decoded.isErr()) {
      log.error("configuration-rejected", { reason: decoded.error.detail });
      return;
    }
    const { configuration, skipped } = decoded.value;
    if (!view.setConfiguration(configuration)) return;
    for (const reason of skipped)
      log.warn("configuration-part-skipped", { reason });
    log.info("configuration-in-force", {
      version: configuration.version,
      revision: object.revision,
      routes: configuration.routes.length,
      accounts: configuration.accounts.length,
    });
  }

  #endpointHandlers(): WatchHandlers {
    const { view, now, log, onEndpointRemoved } = this.#options;
    const report = (changes: ReturnType<typeof view.endpoints.put>) => {
      for (const { event, record } of changes) {
        log.info(event, {
          endpoint: record.id,
          service: record.service,
          version: record.version,
          dataCentre: record.dataCentre,
          coldLeftMs: record.coldLeftMs,
        });
        if (event === "endpoint-removed") onEndpointRemoved(record.id);
      }
    };
    const decode = (object: StoredObject) => {
      const record = decodeEndpoint(object);
      if (record.isOk()) return [record.value];
      log.warn("endpoint-skipped", { reason: record.error.detail });
      return [];
    };
    return {
      onList: (objects) => {
        report(view.endpoints.replaceAll(objects.flatMap(decode), now()));
      },
      onChange: (object) => {
        const [record] = decode(object);
        if (record === undefined) {
          report(view.endpoints.remove(object.name, now()));
        } else report(view.endpoints.put(record, now()));
      },
      onDelete: (name) => report(view.endpoints.remove(name, now())),
      onRegained: () => view.endpoints.startGrace(now()),
    };
  }

  #rolloutHandlers(): WatchHandlers {
    const { view, log } = this.#options;
    return {
      onList: (objects) => {
        const names = new Set(objects.map((object) => object.name));
        for (const service of view.rollouts.listServices()) {
          if (!names.has(service)) view.rollouts.remove(service);
        }
        for (const object of objects) this.#applyRollout(object);
      },
      onChange: (object) => this.#applyRollout(object),
      onDelete: (name) => {
        log.info("rollout-removed", { service: name });
        view.rollouts.remove(name);
      },
    };
  }

  #applyRollout(object: StoredObject): void {
    const { view, log, now } = this.#options;
    const order = decodeRollout(object);
    if (order.isErr()) {
      log.warn("rollout-skipped", { reason: order.error.detail });
      return;
    }
    const { service, target, outcome } = order.value;
    log.info("rollout-ordered", {
      service,
      target,
      outcome: outcome ?? "running",
      revision: object.revision,
    });
    view.rollouts.put(order.value, now());
  }

  #evacuationHandlers(): WatchHandlers {
    const { view, log, now } = this.#options;
    const start = (dataCentre: string) => {
      if (view.evacuated.has(dataCentre)) return;
      log.info("evacuation-started", { dataCentre });
      view.startEvacuation(dataCentre);
    };
    const end = (dataCentre: string) => {
      log.info("evacuation-ended", { dataCentre });
      view.endEvacuation(dataCentre, now());
    };
    return {
      onList: (objects) => {
        const names = new Set(objects.map((object) => object.name));
        for (const name of [...view.evacuated]) if (!names.has(name)) end(name);
        for (const name of names) start(name);
      },
      onChange: (object) => start(object.name),
      onDelete: end,
    };
  }
}
