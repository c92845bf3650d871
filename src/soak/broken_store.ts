/** Object stores without one of the rules that a guard builds on. */

import { randomUUID } from "node:crypto";
import { errAsync, okAsync } from "neverthrow";
import type { ObjectStore } from "../adapters/index.js";
import type { LedgerPage } from "../schema/index.js";

/** The store's methods as an object, of which some can be replaced. */
function bindStore(store: ObjectStore): ObjectStore {
  return {
    read: (key, signal) => store.read(key, signal),
    write: (request, signal) => store.write(request, signal),
    list: (options, signal) => store.list(options, signal),
    watch: (options, signal) => store.watch(options, signal),
  };
}

/** Orders run without a claim: none is kept and none is found. */
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

/** A survivor finds nothing in the pages of a lost owner. */
export function breakPages(store: ObjectStore): ObjectStore {
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

/** An owner goes on after a seal, on a key beside the sealed page. */
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

/** The last of two racing updates of the head wins. */
export function breakHead(store: ObjectStore): ObjectStore {
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
