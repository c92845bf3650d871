/** Object stores that break one of the rules on which a guard depends. */

import { randomUUID } from "node:crypto";
import { errAsync, okAsync } from "neverthrow";
import type { ObjectStore } from "../adapters/index.js";
import type { LedgerPage } from "../schema/index.js";

/** The store's methods as an object, so that some can be replaced. */
function bindStore(store: ObjectStore): ObjectStore {
  return {
    read: (key, signal) => store.read(key, signal),
    write: (request, signal) => store.write(request, signal),
    list: (options, signal) => store.list(options, signal),
    watch: (options, signal) => store.watch(options, signal),
  };
}

/** Orders run without a claim: writes are dropped, reads find nothing. */
export function breakClaims(store: ObjectStore): ObjectStore {
  const isClaim = (key: string) => key.startsWith("claims/");
  return {
    ...bindStore(store),
    read: (key, signal) =>
      isClaim(key) ? okAsync(undefined) : store.read(key, signal),
    write: (request, signal) =>
      isClaim(request.key) ? okAsync(1) : store.write(request, signal),
  };
}

/** Another process finds no receipts in the pages of a lost owner. */
export function breakPageRecovery(store: ObjectStore): ObjectStore {
  return {
    ...bindStore(store),
    list: (options, signal) =>
      store.list(options, signal).map((objects) =>
        objects.map((object) => {
          const page = object.value as LedgerPage;
          if (page.kind !== "page") return object;
          return { ...object, value: { ...page, receipts: [] } };
        }),
      ),
  };
}

/** An owner goes on after a seal, under a key other than the sealed page's. */
export function breakSeals(store: ObjectStore): ObjectStore {
  return {
    ...bindStore(store),
    write: (request, signal) => {
      const { kind } = (request.value ?? {}) as Partial<LedgerPage>;
      return store.write(request, signal).orElse((failure) => {
        if (failure.kind !== "conflict" || kind !== "page") {
          return errAsync(failure);
        }
        const key = `${request.key}-${randomUUID()}`;
        return store.write({ ...request, key }, signal);
      });
    },
  };
}

/** Of two concurrent updates of the head, the last one wins. */
export function breakHeadUpdates(store: ObjectStore): ObjectStore {
  return {
    ...bindStore(store),
    write: (request, signal) => {
      if (request.key !== "config/head") return store.write(request, signal);
      return store
        .write(request, signal)
        .orElse((failure) =>
          failure.kind !== "conflict"
            ? errAsync(failure)
            : store
                .read(request.key, signal)
                .andThen((current) =>
                  store.write(
                    { ...request, ifVersion: current?.version ?? 0 },
                    signal,
                  ),
                ),
        );
    },
  };
}
