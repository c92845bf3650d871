/** Keeps the endpoints in an entry's view up to date with their records. */

import type { Logger } from "../adapters/logger.js";
import type { RepeatLog } from "../adapters/repeat_log.js";
import type {
  EndpointChange,
  EndpointRecord,
  FleetView,
} from "../proxy/index.js";
import { decodeEndpoint } from "./decode_configuration.js";
import type { StoredObject } from "./store_client.js";
import type { WatchHandlers } from "./store_watch.js";

export interface EndpointSyncOptions {
  readonly view: FleetView;
  readonly now: () => number;
  readonly log: Logger;
  readonly oddLog: RepeatLog;
  /** True while the store may lack what it had before a restore. */
  readonly isSettling: () => boolean;
  /** Reads the roll-out orders up to a revision of the store. */
  readonly readOrders: (revision: number) => void;
  /** Called when an endpoint is gone; its connections may be closed. */
  readonly onEndpointRemoved: (id: string) => void;
}

export class EndpointSync {
  readonly #options: EndpointSyncOptions;
  #hasListed = false;
  /** Revisions of records that are older than what the entry knows, by name. */
  readonly #distrusted = new Map<string, number>();

  constructor(options: EndpointSyncOptions) {
    this.#options = options;
  }

  createHandlers(): WatchHandlers {
    const { view, now } = this.#options;
    return {
      onList: (objects) => this.#applyList(objects),
      onChange: (object) => this.#applyChange(object),
      onDelete: (object) => {
        const lastRecord = decodeEndpoint(object).unwrapOr(undefined);
        this.#report(view.endpoints.remove(object.name, now(), lastRecord));
      },
      onRegained: () => view.endpoints.startLapseGrace(now()),
    };
  }

  /** Applies changes of endpoints that were put off until now. */
  applyDueChanges(): void {
    const { view, now } = this.#options;
    this.#report(view.endpoints.applyDue(now()));
  }

  /** Uses all records of the next list; false if none was distrusted. */
  trustAll(): boolean {
    const hasDistrusted = this.#distrusted.size > 0;
    this.#distrusted.clear();
    return hasDistrusted;
  }

  #applyList(objects: readonly StoredObject[]): void {
    const { view, now, isSettling } = this.#options;
    const records = this.#listTrusted(objects);
    if (!isSettling()) {
      this.#report(view.endpoints.replaceAll(records, now()));
      return;
    }
    for (const record of records)
      this.#report(view.endpoints.put(record, now()));
  }

  #listTrusted(objects: readonly StoredObject[]): EndpointRecord[] {
    const { view, isSettling } = this.#options;
    const isFirstList = !this.#hasListed;
    this.#hasListed = true;
    return objects.flatMap((object) => {
      const record = this.#decode(object);
      if (record === undefined) return [];
      if (isFirstList) view.unconfirmedVersions.addConfirmed(record);
      else this.#checkVersion(record, object.revision);
      if (isSettling() && view.endpoints.isOutdated(record))
        this.#distrusted.set(object.name, object.revision);
      return this.#isDistrusted(object) ? [] : [record];
    });
  }

  /** False for a record that is older than the one known. */
  #applyChange(object: StoredObject): boolean {
    const { view, now } = this.#options;
    const record = this.#decode(object);
    if (record === undefined) {
      this.#report(view.endpoints.remove(object.name, now()));
      return true;
    }
    const isNewest = !view.endpoints.hasNewer(record);
    if (this.#isDistrusted(object)) return isNewest;
    this.#checkVersion(record, object.revision);
    this.#report(view.endpoints.put(record, now()));
    return isNewest;
  }

  #decode(object: StoredObject): EndpointRecord | undefined {
    const record = decodeEndpoint(object);
    if (record.isOk()) return record.value;
    const reason = record.error.detail;
    const cause = `endpoint ${object.name}`;
    this.#options.oddLog.warn(cause, "endpoint-skipped", { reason });
    return undefined;
  }

  #isDistrusted({ name, revision }: StoredObject): boolean {
    return this.#distrusted.get(name) === revision;
  }

  /** Notes the version of a record; reads the orders if one may be missing. */
  #checkVersion(record: EndpointRecord, revision: number): void {
    const { view, log, readOrders } = this.#options;
    const { unconfirmedVersions, rollouts } = view;
    const { service, version } = record;
    const isKnown = unconfirmedVersions.has(record);
    if (!unconfirmedVersions.add(record, revision) || isKnown) return;
    if (rollouts.getOrder(service)?.target === version) return;
    // The only version of a service gets its requests all the same.
    const hasOthers = view.endpoints
      .listNotLeaving(service)
      .some((other) => other.record.version !== version);
    if (!hasOthers) return;
    log.info("version-unconfirmed", { service, version, revision });
    readOrders(revision);
  }

  #report(changes: readonly EndpointChange[]): void {
    const { log, onEndpointRemoved } = this.#options;
    for (const { event, record, newerSequence } of changes) {
      log.info(event, {
        endpoint: record.id,
        service: record.service,
        version: record.version,
        dataCentre: record.dataCentre,
        coldLeftMs: record.coldLeftMs,
        sequence: record.sequence,
        newerSequence,
      });
      if (event === "endpoint-removed") onEndpointRemoved(record.id);
    }
  }
}
