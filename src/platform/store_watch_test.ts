import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ok } from "neverthrow";
import { createSuspendClock } from "../proxy/index.js";
import { delay } from "../testbed/delay.js";
import {
  OBJECT_KIND,
  parseEvent,
  type WatchCallOptions,
} from "./store_client.js";
import { StoreOutage } from "./store_outage.js";
import { StoreWatch, type WatchOptions } from "./store_watch.js";

const LOG = { debug() {}, info() {}, warn() {}, error() {} };
/** Well above the time in which a watch call reaches the store, ms. */
const WAIT_MS = 300;

type TestWatchOptions = Pick<WatchOptions, "store" | "getWaitMs" | "handlers"> &
  Partial<WatchOptions>;

function createWatch(
  signal: AbortSignal,
  options: TestWatchOptions,
): StoreWatch {
  const clock = createSuspendClock();
  return new StoreWatch({
    kind: OBJECT_KIND.endpoints,
    getPauseMs: () => 0,
    confirmsAtCallStart: false,
    getEra: () => 1,
    getReachedAtMs: () => clock.now(),
    outage: new StoreOutage({
      getMaxProbePauseMs: () => 500,
      random: Math.random,
      signal,
    }),
    clock,
    log: LOG,
    onViewChange: () => {},
    signal,
    ...options,
  });
}

describe("store watch", () => {
  /** Age of the view while a watch call waits, sent or not. */
  async function measureAge(isSent: boolean): Promise<number> {
    const controller = new AbortController();
    const { signal } = controller;
    const storeRevision = 1;
    const page = { objects: [], skipReasons: [], hasMore: false };
    const watch = createWatch(signal, {
      store: {
        list: () => Promise.resolve(ok({ ...page, storeRevision })),
        watch: (_kind, _revision, { onSend, signal }: WatchCallOptions) => {
          if (isSent) onSend?.();
          return new Promise((resolve) =>
            signal?.addEventListener("abort", () =>
              resolve(ok({ events: [], skipReasons: [], storeRevision })),
            ),
          );
        },
      },
      getWaitMs: () => 10_000,
      handlers: { onList() {}, onChange: () => true, onDelete() {} },
    });
    const run = watch.run();
    await delay(WAIT_MS);
    const { ageMs } = watch;
    controller.abort();
    watch.restart();
    await run;
    return ageMs;
  }

  it("counts as recent while the store answers other calls", async () => {
    assert.ok((await measureAge(true)) < WAIT_MS / 2);
  });

  // Its connection may open seconds later, and the store holds back no changes.
  it("does not count as recent by a watch call that was not sent", async () => {
    assert.ok((await measureAge(false)) >= WAIT_MS / 2);
  });

  // Its view would never change again, and the process would go on with it.
  it("lists again after a round that failed in the entry's code", async () => {
    const controller = new AbortController();
    const { signal } = controller;
    let lists = 0;
    const watch = createWatch(signal, {
      store: {
        list: async () =>
          ok({
            objects: [],
            skipReasons: [],
            hasMore: false,
            storeRevision: 1,
          }),
        watch: async () =>
          ok({ events: [], skipReasons: [], storeRevision: 1 }),
      },
      getWaitMs: () => 10,
      getPauseMs: () => 10,
      handlers: {
        onList() {
          lists++;
          if (lists === 1) throw new Error("odd");
        },
        onChange: () => true,
        onDelete() {},
        onConfirm: () => {
          if (lists === 2) controller.abort();
        },
      },
    });
    await watch.run();
    assert.equal(lists, 2);
  });

  // Entries that follow this one took the outdated state for the newest.
  it("passes on the newer change beside one that is outdated", async () => {
    const controller = new AbortController();
    const { signal } = controller;
    const createEvent = (revision: number, spec: string) => ({
      isDeleted: false,
      object: {
        name: "i-1",
        revision,
        createdRevision: 1,
        isDeleting: false,
        spec,
        status: null,
      },
    });
    const page = { objects: [], skipReasons: [], hasMore: false };
    const events = [createEvent(2, "newer"), createEvent(3, "outdated")];
    const watch = createWatch(signal, {
      store: {
        list: async () => ok({ ...page, storeRevision: 1 }),
        watch: async () => ok({ events, skipReasons: [], storeRevision: 3 }),
      },
      getWaitMs: () => 10,
      handlers: {
        onList() {},
        onChange: ({ spec }) => spec !== "outdated",
        onDelete() {},
        onConfirm: () => {
          if (watch.revision === 3) controller.abort();
        },
      },
    });
    await watch.run();
    const passedOn = watch.listChangesSince(1)?.map(parseEvent) ?? [];
    assert.deepEqual(
      passedOn.map((event) => event.map(({ object }) => object.spec)),
      [ok("newer"), ok("outdated")],
    );
  });
});
