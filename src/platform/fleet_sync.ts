/** Brings what the store holds into the entry's view of the fleet. */

import type { Logger } from "../adapters/logs.js";
import {
  type FleetView,
  type Freshness,
  type RolloutDecision,
  type SuspendClock,
  ViewRelay,
  type ViewRelayOptions,
  Waiters,
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
import { StoreOutage } from "./store_outage.js";
import {
  StoreWatch,
  type WatchHandlers,
  type WatchOptions,
} from "./store_watch.js";

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

/** What has to be known of a change in time; shorter bounds need more calls. */
export interface ViewBounds {
  /** Time until a change of the configuration is in force, ms. */
  readonly configMs: number;
  /** Time until an endpoint that leaves gets nothing new, ms. */
  readonly drainMs: number;
  /** Time until an evacuated data centre gets nothing, ms. */
  readonly evacuationMs: number;
}

/** Time until an order for a rollout must be known, ms: most last a minute. */
const ROLLOUT_MS = 5_000;
/**
 * Parts of a bound for the steps by which a follower hears of a change: the
 * reader's watch, its age at which the follower reads itself, the question.
 */
const READER_SHARE = 0.5;
const MAX_AGE_SHARE = 0.65;
const QUESTION_SHARE = 0.2;

/**
 * Part of a bound for which a reader collects changes after the first. Orders
 * for rollouts and evacuations are rare, and the next may follow at once.
 */
const COLLECT_SHARE = 0.25;

/** Shortest wait of a reader's watch, ms; bounds its calls in a rush. */
const MIN_WAIT_MS = 100;

/**
 * Longest pauses between calls that probe a lost store, ms: of an entry that
 * others may follow, and of one that hears from another when it is back.
 */
const PROBE_PAUSE_MS = { alone: 500, following: 2_000 } as const;

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
  readonly bounds: ViewBounds;
  /** This entry among the others. */
  readonly selfName: string;
  readonly listNeighbours: ViewRelayOptions["listNeighbours"];
  /** Another entry answered a question for news, or failed to. */
  readonly onNewsAnswer: ViewRelayOptions["onAnswer"];
  /** An endpoint is gone; its connections may be closed. */
  readonly onEndpointRemoved: (id: string) => void;
  readonly signal: AbortSignal;
}

export class FleetSync {
  readonly #options: FleetSyncOptions;
  readonly #watches: readonly StoreWatch[];
  readonly #configuration: StoreWatch;
  readonly #outage: StoreOutage;
  readonly #loading = new Waiters();
  /** Passes on what one entry reads. */
  readonly relay: ViewRelay;
  #isConfirming = false;

  constructor(options: FleetSyncOptions) {
    this.#options = options;
    const { configMs, drainMs, evacuationMs } = options.bounds;
    const boundMs = {
      [KIND.configuration]: Math.min(configMs, options.maxConfigAgeMs),
      [KIND.endpoints]: drainMs,
      [KIND.rollouts]: ROLLOUT_MS,
      [KIND.evacuations]: evacuationMs,
    };
    const { clock, log, random, signal, selfName, listNeighbours } = options;
    this.#outage = new StoreOutage({
      getLongestPauseMs: () =>
        this.relay.hasReader ? PROBE_PAUSE_MS.following : PROBE_PAUSE_MS.alone,
      random,
      signal,
    });
    const confirmMs = Math.round(CONFIRM_SHARE * options.maxConfigAgeMs);
    const longestMs = Math.min(WAIT_MS.configuration, confirmMs);
    const readerMs = READER_SHARE * Math.min(...Object.values(boundMs));
    this.#configuration = this.#createWatch(KIND.configuration, {
      handlers: this.#configurationHandlers(),
      isStrict: true,
      getPauseMs: (ageMs) =>
        Math.min(
          COLLECT_SHARE * boundMs[KIND.configuration],
          Math.max(0, readerMs - ageMs),
        ),
      // The watch that proves to followers that this entry reaches the store.
      getWaitMs: ({ ageMs }) => {
        if (!this.relay.isFollowed) return longestMs;
        const leftMs = Math.max(MIN_WAIT_MS, readerMs - ageMs);
        return Math.round(Math.min(longestMs, leftMs));
      },
    });
    const createWatch = (kind: Kind, waitMs: number, handlers: WatchHandlers) =>
      this.#createWatch(kind, {
        handlers,
        isStrict: false,
        getPauseMs: (_ageMs, isListed) =>
          isListed || kind === KIND.endpoints
            ? COLLECT_SHARE * boundMs[kind]
            : 0,
        // A short watch after changes proves that there are no more by now.
        getWaitMs: ({ hasChanged }) =>
          hasChanged && this.relay.isFollowed ? MIN_WAIT_MS : waitMs,
      });
    this.#watches = [
      this.#configuration,
      createWatch(KIND.endpoints, WAIT_MS.endpoints, this.#endpointHandlers()),
      createWatch(KIND.rollouts, WAIT_MS.rollouts, this.#rolloutHandlers()),
      createWatch(
        KIND.evacuations,
        WAIT_MS.evacuations,
        this.#evacuationHandlers(),
      ),
    ];
    this.relay = new ViewRelay({
      views: this.#watches,
      maxAgeMs: Object.fromEntries(
        Object.entries(boundMs).map(([kind, ms]) => [kind, MAX_AGE_SHARE * ms]),
      ),
      waitMs: Math.round(QUESTION_SHARE * Math.min(...Object.values(boundMs))),
      onAnswer: options.onNewsAnswer,
      onSourceLost: () => this.#outage.suspect(),
      clock,
      log,
      signal,
      selfName,
      listNeighbours,
    });
  }

  /** True once every kind was read whole. */
  get isLoaded(): boolean {
    return this.#watches.every((watch) => watch.isLoaded);
  }

  /**
   * Waits for the first view of the fleet, which comes some milliseconds after
   * the start; not where the store is known not to answer.
   */
  async waitUntilLoaded(waitMs: number): Promise<void> {
    const isSettled = () => this.isLoaded || this.#outage.isOn;
    await this.#loading.waitUntil(isSettled, waitMs);
  }

  async run(): Promise<void> {
    await Promise.all([
      ...this.#watches.map((watch) => watch.run()),
      this.relay.run(),
    ]);
  }

  /** Reads the configuration at once, for a decision that can't wait. */
  async confirmNow(): Promise<void> {
    // While the store is lost, its watches find out when it is back.
    if (this.#isConfirming || this.#configuration.isLost) return;
    this.#isConfirming = true;
    const { store, clock, freshness } = this.#options;
    await this.#outage.run(async () => {
      const startedAtMs = clock.now();
      const object = await store.get(KIND.configuration, CONFIGURATION_NAME);
      if (object.isErr()) return object.error;
      this.#applyConfiguration(object.value);
      freshness.confirm(startedAtMs);
      return undefined;
    });
    this.#isConfirming = false;
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
    own: Pick<
      WatchOptions,
      "handlers" | "isStrict" | "getPauseMs" | "getWaitMs"
    >,
  ): StoreWatch {
    const { store, clock, log, signal } = this.#options;
    const { handlers } = own;
    return new StoreWatch({
      ...own,
      handlers: {
        ...handlers,
        onList: (objects) => {
          handlers.onList(objects);
          this.#loading.wake();
        },
      },
      kind,
      store,
      clock,
      log,
      signal,
      outage: this.#outage,
      getReachedAtMs: () => this.#configuration.reachedAtMs,
      onNews: () => {
        this.relay.notifyChange();
        this.#loading.wake();
      },
    });
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
      onRegained: () => view.endpoints.startLapseGrace(now()),
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
      if (view.evacuatedDataCentres.has(dataCentre)) return;
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
        for (const name of [...view.evacuatedDataCentres])
          if (!names.has(name)) end(name);
        for (const name of names) start(name);
      },
      onChange: (object) => start(object.name),
      onDelete: end,
    };
  }
}
