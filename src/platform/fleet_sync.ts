/** Keeps the entry's view of the fleet up to date with the store. */

import type { Logger } from "../adapters/logger.js";
import { pauseFor } from "../adapters/pause_for.js";
import { RepeatLog } from "../adapters/repeat_log.js";
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
  decodeRollout,
} from "./decode_configuration.js";
import { EndpointSync } from "./endpoint_sync.js";
import { STORE_FAILURE } from "./failures.js";
import {
  OBJECT_KIND,
  type StoreClient,
  type StoredObject,
  type ViewKind,
  WATCH_SLACK_MS,
} from "./store_client.js";
import type { StoreEra } from "./store_era.js";
import { StoreOutage } from "./store_outage.js";
import {
  StoreWatch,
  type WatchHandlers,
  type WatchOptions,
} from "./store_watch.js";

/** Name of the stored object with the configuration. */
const CONFIGURATION_NAME = "main";
/**
 * How long a watch call waits for changes at most, ms. For the configuration,
 * this bounds the age of the proof that no API key was withdrawn. Its answers
 * also show whether the call for endpoints, which waits longer, has missed a
 * change.
 */
const WATCH_WAIT_MS = {
  configuration: 2_500,
  endpoints: 4_000,
  rollouts: 8_000,
  evacuations: 6_000,
} as const;

/**
 * The store confirms the configuration within this share of its maximum age;
 * the rest is a margin for a call that is late.
 */
const CONFIRM_AGE_SHARE = 0.7;

/** How soon changes must take effect; shorter bounds need more calls. */
export interface ViewBounds {
  /** Time until a change of the configuration is in force, ms. */
  readonly configMs: number;
  /** Time until an endpoint that leaves gets no new requests, ms. */
  readonly drainMs: number;
  /** Time until an evacuated data centre gets no requests, ms. */
  readonly evacuationMs: number;
}

/** Time until a roll-out order must be known, ms: most last a minute. */
const ROLLOUT_BOUND_MS = 5_000;
/**
 * Shares of a bound for the steps by which a follower learns of a change. The
 * reader renews its views before they reach the first age. A follower whose
 * view is older than the second reads the store itself. The third is how long
 * the reader may hold back its answer to a question for news.
 */
const READER_AGE_SHARE = 0.5;
const FOLLOWER_MAX_AGE_SHARE = 0.65;
const QUESTION_WAIT_SHARE = 0.2;

/**
 * Share of a bound for which further changes are collected after the first.
 * Not used for changes of roll-outs and evacuations: they are rare, and the
 * next may follow at once.
 */
const COLLECT_SHARE = 0.25;

/**
 * Share of a bound within which a call on a connection that went silent is
 * given up; the rest is for the next call.
 */
const NOTICE_SHARE = 0.9;

/**
 * Time in which a follower hears from its reader of the orders up to a revision,
 * ms: the reader's own call and an answer that was held back.
 */
const READER_CATCH_UP_MS = 600;

/** Shortest wait of a reader's watch call, ms; limits its rate of calls. */
const MIN_WATCH_WAIT_MS = 100;

/**
 * After a restore of the store, endpoints and operators write again what it has
 * lost. Until the first of these times what it holds may be older than what the
 * entry knows; until the second, records of endpoints that had gone may remain.
 */
const RESTORE_SETTLE_MS = 2_000;
const RESTORE_DISTRUST_MS = 6_000;

/**
 * Longest pauses between calls that probe a lost store, ms. An entry with a
 * reader learns from it that the store is back, so it probes less often.
 */
const MAX_PROBE_PAUSE_MS = { withoutReader: 500, withReader: 2_000 } as const;

export interface FleetSyncOptions {
  readonly store: StoreClient;
  readonly era: StoreEra;
  /** Newest version of the configuration that another entry has in force. */
  readonly getPeerConfigVersion: () => number;
  readonly view: FleetView;
  readonly freshness: Freshness;
  readonly clock: SuspendClock;
  readonly now: () => number;
  readonly random: () => number;
  readonly log: Logger;
  /** Largest age of the confirmed configuration at which requests run, ms. */
  readonly maxConfigAgeMs: number;
  readonly bounds: ViewBounds;
  /** Name of this entry. */
  readonly selfName: string;
  readonly listNeighbours: ViewRelayOptions["listNeighbours"];
  /** Called when another entry answers a question for news, or fails to. */
  readonly onNewsAnswer: ViewRelayOptions["onAnswer"];
  /** Called when an endpoint is gone; its connections may be closed. */
  readonly onEndpointRemoved: (id: string) => void;
  readonly signal: AbortSignal;
}

export class FleetSync {
  readonly #options: FleetSyncOptions;
  readonly #watches: readonly StoreWatch[];
  readonly #configurationWatch: StoreWatch;
  readonly #rolloutWatch: StoreWatch;
  readonly #endpointSync: EndpointSync;
  readonly #outage: StoreOutage;
  readonly #loadWaiters = new Waiters();
  /** Lets one entry of a data centre read the store for the others. */
  readonly relay: ViewRelay;
  #isConfirming = false;
  /** The store has come back from a copy and may lack what was written. */
  #isSettling = false;
  /** Version of the configuration that the store was last seen to hold. */
  #storedVersion = 0;
  readonly #endedEvacuations = new Set<string>();
  /** For odd records, which their writers may write again and again. */
  readonly #oddLog: RepeatLog;

  constructor(options: FleetSyncOptions) {
    this.#options = options;
    this.#oddLog = new RepeatLog(options);
    this.#endpointSync = new EndpointSync({
      ...options,
      oddLog: this.#oddLog,
      isSettling: () => this.#isSettling,
      readOrders: (revision) => void this.#readOrders(revision),
    });
    const { configMs, drainMs, evacuationMs } = options.bounds;
    const boundMs = {
      [OBJECT_KIND.configuration]: Math.min(configMs, options.maxConfigAgeMs),
      [OBJECT_KIND.endpoints]: drainMs,
      [OBJECT_KIND.rollouts]: ROLLOUT_BOUND_MS,
      [OBJECT_KIND.evacuations]: evacuationMs,
    };
    const { clock, log, random, signal, selfName, listNeighbours } = options;
    this.#outage = new StoreOutage({
      getMaxProbePauseMs: () =>
        this.relay.hasReader
          ? MAX_PROBE_PAUSE_MS.withReader
          : MAX_PROBE_PAUSE_MS.withoutReader,
      random,
      signal,
    });
    const maxConfirmWaitMs = Math.round(
      CONFIRM_AGE_SHARE * options.maxConfigAgeMs,
    );
    const maxConfigWaitMs = Math.min(
      maxConfirmWaitMs,
      computeWatchWaitMs(
        WATCH_WAIT_MS.configuration,
        Math.min(...Object.values(boundMs)),
      ),
    );
    const maxReaderAgeMs =
      READER_AGE_SHARE * Math.min(...Object.values(boundMs));
    this.#configurationWatch = this.#createWatch(OBJECT_KIND.configuration, {
      handlers: this.#configurationHandlers(),
      confirmsAtCallStart: true,
      getPauseMs: (ageMs) =>
        Math.min(
          COLLECT_SHARE * boundMs[OBJECT_KIND.configuration],
          Math.max(0, maxReaderAgeMs - ageMs),
        ),
      // This watch proves to followers that this entry reaches the store.
      getWaitMs: ({ ageMs }) => {
        if (!this.relay.isFollowed) return maxConfigWaitMs;
        const timeLeftMs = Math.max(MIN_WATCH_WAIT_MS, maxReaderAgeMs - ageMs);
        return Math.round(Math.min(maxConfigWaitMs, timeLeftMs));
      },
    });
    const createWatch = (
      kind: ViewKind,
      waitMs: number,
      handlers: WatchHandlers,
    ) =>
      this.#createWatch(kind, {
        handlers,
        confirmsAtCallStart: false,
        getPauseMs: (_ageMs, isAfterList) =>
          isAfterList || kind === OBJECT_KIND.endpoints
            ? COLLECT_SHARE * boundMs[kind]
            : 0,
        // After changes, a short watch call proves that there are no more.
        getWaitMs: ({ hasChanged }) =>
          hasChanged && this.relay.isFollowed ? MIN_WATCH_WAIT_MS : waitMs,
      });
    this.#rolloutWatch = createWatch(
      OBJECT_KIND.rollouts,
      WATCH_WAIT_MS.rollouts,
      this.#rolloutHandlers(),
    );
    this.#watches = [
      this.#configurationWatch,
      createWatch(
        OBJECT_KIND.endpoints,
        WATCH_WAIT_MS.endpoints,
        this.#endpointSync.createHandlers(),
      ),
      this.#rolloutWatch,
      createWatch(
        OBJECT_KIND.evacuations,
        computeWatchWaitMs(
          WATCH_WAIT_MS.evacuations,
          boundMs[OBJECT_KIND.evacuations],
        ),
        this.#evacuationHandlers(),
      ),
    ];
    this.relay = new ViewRelay({
      views: this.#watches,
      maxAgeMs: Object.fromEntries(
        Object.entries(boundMs).map(([kind, ms]) => [
          kind,
          FOLLOWER_MAX_AGE_SHARE * ms,
        ]),
      ),
      waitMs: Math.round(
        QUESTION_WAIT_SHARE * Math.min(...Object.values(boundMs)),
      ),
      getEra: () => options.era.current,
      onEra: (era) => {
        // 0 where the other entry has not read the store yet.
        if (era > 0) options.era.observe(era);
      },
      onAnswer: options.onNewsAnswer,
      onSourceLost: () => this.#outage.suspect(),
      clock,
      log,
      signal,
      selfName,
      listNeighbours,
    });
  }

  /** True once all objects of every kind were read. */
  get isLoaded(): boolean {
    return this.#watches.every((watch) => watch.isLoaded);
  }

  /**
   * Waits until the view is loaded, some milliseconds after the start. Stops
   * waiting when the store is known not to answer.
   */
  async waitUntilLoaded(timeoutMs: number): Promise<void> {
    const isSettled = () => this.isLoaded || this.#outage.isOngoing;
    await this.#loadWaiters.waitUntil(isSettled, timeoutMs);
  }

  async run(): Promise<void> {
    await Promise.all([
      ...this.#watches.map((watch) => watch.run()),
      this.relay.run(),
    ]);
  }

  /** To be called when the store has come back from a copy. */
  async startRestore(): Promise<void> {
    const { view, era, now, log, signal } = this.#options;
    const { current } = era;
    log.warn("store-restored", { era: current });
    this.#isSettling = true;
    this.#storedVersion = 0;
    this.#endpointSync.trustAll();
    view.endpoints.startLapseGrace(now());
    view.rollouts.startRestore();
    view.unconfirmedVersions.restart();
    this.#restartWatches();
    await pauseFor(RESTORE_SETTLE_MS, signal);
    if (signal.aborted || era.current !== current) return;
    this.#isSettling = false;
    this.#restartWatches();
    await pauseFor(RESTORE_DISTRUST_MS - RESTORE_SETTLE_MS, signal);
    if (signal.aborted || era.current !== current) return;
    if (this.#endpointSync.trustAll()) this.#restartWatches();
  }

  #restartWatches(): void {
    for (const watch of this.#watches) watch.restart();
  }

  /** Reads the configuration at once, for a decision that can't wait. */
  async confirmNow(): Promise<void> {
    // While the store is lost, the watches find out when it is back.
    if (this.#isConfirming || this.#configurationWatch.isLost) return;
    this.#isConfirming = true;
    const { store, clock } = this.#options;
    try {
      await this.#outage.run(async () => {
        const startedAtMs = clock.now();
        const object = await store.get(
          OBJECT_KIND.configuration,
          CONFIGURATION_NAME,
        );
        if (object.isErr()) return object.error;
        this.#applyConfiguration(object.value);
        this.#confirmConfiguration(startedAtMs);
        return undefined;
      });
    } finally {
      this.#isConfirming = false;
    }
  }

  /** Writes a roll-out's outcome; false if the write is to be retried. */
  async writeOutcome(decision: RolloutDecision): Promise<boolean> {
    const { store, log } = this.#options;
    const { order, outcome, reason } = decision;
    const result = await store.putStatus(
      OBJECT_KIND.rollouts,
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
    kind: ViewKind,
    kindOptions: Pick<
      WatchOptions,
      "handlers" | "confirmsAtCallStart" | "getPauseMs" | "getWaitMs"
    >,
  ): StoreWatch {
    const { store, clock, log, signal } = this.#options;
    const { handlers } = kindOptions;
    return new StoreWatch({
      ...kindOptions,
      handlers: {
        ...handlers,
        onList: (objects) => {
          handlers.onList(objects);
          this.#loadWaiters.wake();
        },
      },
      kind,
      store,
      getEra: () => this.#options.era.current,
      clock,
      log,
      signal,
      outage: this.#outage,
      getReachedAtMs: () => this.#configurationWatch.reachedAtMs,
      // One that got no answer tells that the others may get none either.
      onTimeout: () => {
        for (const watch of this.#watches)
          if (watch.kind !== kind) watch.renew();
      },
      onRevision:
        kind === OBJECT_KIND.configuration
          ? (revision, events) => {
              const watch = this.#watches.find(
                (one) => one.kind === OBJECT_KIND.endpoints,
              );
              watch?.checkRevision(revision, events);
            }
          : undefined,
      onViewChange: () => {
        this.relay.notifyChange();
        this.#loadWaiters.wake();
      },
    });
  }

  #configurationHandlers(): WatchHandlers {
    const apply = (object: StoredObject) => this.#applyConfiguration(object);
    return {
      onList: (objects) => objects.forEach(apply),
      onChange: (object) => {
        apply(object);
        return true;
      },
      onDelete: () => {},
      onConfirm: (atMs) => this.#confirmConfiguration(atMs),
    };
  }

  /** A store or view behind a version in force somewhere confirms nothing. */
  #confirmConfiguration(atMs: number): void {
    const { view, freshness, getPeerConfigVersion } = this.#options;
    const version = view.catalog?.configuration.version ?? 0;
    const isOutdated = this.#isSettling && this.#storedVersion < version;
    if (isOutdated || version < getPeerConfigVersion()) return;
    freshness.confirm(atMs);
  }

  #applyConfiguration(object: StoredObject): void {
    if (object.name !== CONFIGURATION_NAME) return;
    const { view, log } = this.#options;
    const decoded = decodeConfiguration(object.spec);
    if (decoded.isErr()) {
      const reason = decoded.error.detail;
      this.#oddLog.error(reason, "configuration-rejected", { reason });
      return;
    }
    const { configuration, skipReasons } = decoded.value;
    this.#storedVersion = configuration.version;
    if (!view.setConfiguration(configuration)) return;
    for (const reason of skipReasons)
      log.warn("configuration-part-skipped", { reason });
    log.info("configuration-in-force", {
      version: configuration.version,
      revision: object.revision,
      routes: configuration.routes.length,
      accounts: configuration.accounts?.length ?? "none",
    });
  }

  /** Applies changes of endpoints that were put off until now. */
  applyDueChanges(): void {
    this.#endpointSync.applyDueChanges();
  }

  /** Reads the roll-out orders up to the revision, on a new connection. */
  async #readOrders(revision: number): Promise<void> {
    // An entry that reads for this one does the same and passes on the result.
    if (this.#rolloutWatch.isFollowing)
      await pauseFor(READER_CATCH_UP_MS, this.#options.signal);
    this.#rolloutWatch.catchUp(revision);
  }

  #rolloutHandlers(): WatchHandlers {
    const { view, log } = this.#options;
    return {
      onList: (objects) => {
        const names = new Set(objects.map((object) => object.name));
        for (const service of view.rollouts.listServices()) {
          const isMissing = !this.#isSettling && !names.has(service);
          if (isMissing) view.rollouts.remove(service);
        }
        for (const object of objects) this.#applyRollout(object);
      },
      onChange: (object) => {
        this.#applyRollout(object);
        return true;
      },
      onDelete: ({ name }) => {
        log.info("rollout-removed", { service: name });
        view.rollouts.remove(name);
      },
      onConfirm: () => {
        // Orders that the store has lost are written again by then.
        if (this.#isSettling) return;
        view.unconfirmedVersions.confirm(this.#rolloutWatch.revision ?? 0);
      },
    };
  }

  #applyRollout(object: StoredObject): void {
    const { view, log, now } = this.#options;
    const order = decodeRollout(object);
    if (order.isErr()) {
      const reason = order.error.detail;
      const cause = `rollout ${object.name}`;
      this.#oddLog.warn(cause, "rollout-skipped", { reason });
      return;
    }
    const { service, target, outcome } = order.value;
    if (this.#isSettling && view.rollouts.isReplaced(order.value)) {
      log.info("rollout-outdated", { service, target });
      return;
    }
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
      this.#endedEvacuations.delete(dataCentre);
      if (view.evacuatedDataCentres.has(dataCentre)) return;
      log.info("evacuation-started", { dataCentre });
      view.startEvacuation(dataCentre);
    };
    const end = (dataCentre: string) => {
      log.info("evacuation-ended", { dataCentre });
      this.#endedEvacuations.add(dataCentre);
      view.endEvacuation(dataCentre, now());
    };
    return {
      onList: (objects) => {
        const names = new Set(objects.map((object) => object.name));
        if (this.#isSettling) {
          for (const name of names)
            if (!this.#endedEvacuations.has(name)) start(name);
          return;
        }
        for (const name of [...view.evacuatedDataCentres])
          if (!names.has(name)) end(name);
        for (const name of names) start(name);
      },
      onChange: (object) => {
        start(object.name);
        return true;
      },
      onDelete: (object) => end(object.name),
    };
  }
}

/** Longest wait after which a silent connection is noticed within the bound. */
function computeWatchWaitMs(longestMs: number, boundMs: number): number {
  const inTimeMs = Math.round(NOTICE_SHARE * boundMs) - WATCH_SLACK_MS;
  return Math.min(longestMs, Math.max(MIN_WATCH_WAIT_MS, inTimeMs));
}
