/**
 * A replica leaves. One of its beats from before, whose answer was lost, is
 * carried out by the store only after it has said so: an entry with a lower
 * `seq` and the same `born`.
 */

import { dirname } from "node:path";
import { performance } from "node:perf_hooks";
import { fileURLToPath } from "node:url";
import {
  bounds,
  Client,
  createEntries,
  findPort,
  hasTrouble,
  pause,
  Run,
  seconds,
  sendAtRate,
} from "../standins-2/fleet.mjs";
import { Replica } from "../standins-2/replica.mjs";
import { Store } from "../standins-2/store.mjs";

const HOST = "desk.example";
const KEY = "key-of-farms";
/** Calls without an answer may be carried out "1 to 6 s later". */
const LATE_MS = 6_000;
/** The replica leaves this long after the lost answer: past contact_ms. */
const DRAIN_AFTER_MS = 3_300;
/** It serves on for drain_ms "and a little longer (at times many seconds)". */
const SERVES_ON_MS = 3_300;
const REQUESTS_PER_ENTRY = 20;
const WORK_MS = 60;

const configuration = {
  version: 7,
  routes: [
    {
      name: "orders",
      host: HOST,
      prefix: "/orders/",
      kind: "unsafe",
      service: "order-desk",
      attempts: 3,
      timeout_ms: 1_500,
      target_latency_ms: 120,
      priority: 2,
    },
    {
      name: "stock",
      host: HOST,
      prefix: "/stock/",
      kind: "safe",
      service: "order-desk",
      attempts: 3,
      timeout_ms: 1_500,
      target_latency_ms: 120,
      priority: 2,
    },
  ],
  services: [{ name: "order-desk", max_conns: 100, health_path: "/healthz" }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: "farms", api_keys: [KEY] }],
};

const run = new Run(dirname(fileURLToPath(import.meta.url)));
await run.play(async () => {
  const store = new Store();
  const storePort = await findPort();
  await store.start(storePort, "127.0.2.1");
  run.onEnd(() => store.stop());
  store.put("config", "main", configuration);

  let isLosing = false;
  let lateSpec;
  const replicas = [];
  for (let index = 1; index <= 4; index++) {
    const replica = new Replica({
      id: `i-desk-${index}`,
      service: "order-desk",
      zone: `z-${index}`,
      slots: 6,
      workMs: WORK_MS,
      loseBeat: (spec) => {
        if (index !== 2 || !isLosing) return false;
        isLosing = false;
        lateSpec = spec;
        return true;
      },
    });
    await replica.start(await findPort(), `127.0.3.${index}`);
    replica.register(store);
    run.onEnd(() => replica.stop());
    replicas.push(replica);
  }
  const leaving = replicas[1];
  const { id } = leaving.options;

  const names = ["front-1", "front-2", "front-3", "front-4"];
  const entries = await createEntries(run, names, {
    storeAddresses: names.map(() => `127.0.2.1:${storePort}`),
    seedsOf: (controls) => controls.slice(0, 3),
  });
  for (const entry of entries) entry.start();
  for (const entry of entries) await entry.waitUntilReady();

  const controller = new AbortController();
  const clients = entries.map((entry) => new Client(entry, { host: HOST, key: KEY }));
  const traffic = clients.map((client) =>
    sendAtRate(REQUESTS_PER_ENTRY, controller.signal, (count) =>
      count % 2 === 0
        ? client.send("POST", `/orders/${count}`, { body: `order ${count}` })
        : client.send("GET", `/stock/${count}`),
    ),
  );
  // Everything runs without disruption for longer than contact_ms.
  await pause(4_000);

  isLosing = hasTrouble;
  // The next beat, at most 1.2 s away, gets no answer.
  while (isLosing) await pause(5);
  if (lateSpec) {
    run.note(`the answer to a beat of ${id} is lost: ${JSON.stringify(lateSpec)}`);
    setTimeout(() => {
      run.note(`the store carries that beat out, ${LATE_MS} ms after it was sent`);
      store.put("servers", id, lateSpec);
    }, LATE_MS);
  }
  await pause(DRAIN_AFTER_MS);
  leaving.drain();
  const drainAtMs = performance.now();
  const { spec } = store.get("servers", id);
  run.note(`${id} leaves; the store has accepted: ${JSON.stringify(spec)}`);
  await pause(SERVES_ON_MS);
  run.note(`${id} ends`);
  leaving.stop();
  await pause(1_000);
  controller.abort();
  await Promise.all(traffic);
  for (const client of clients) client.close();

  const limitMs = drainAtMs + bounds.drain_ms;
  const late = leaving.arrivals.filter(
    ({ atMs, status }) => atMs > limitMs && status !== 421,
  );
  const requests = clients.flatMap((client) => client.requests);
  const answered = requests.filter(({ status }) => status === 200);
  run.note(`${requests.length} requests sent, ${answered.length} answered with 200`);
  for (const { id: request, path, status, sentAtMs } of requests) {
    if (status === 200) continue;
    const afterMs = Math.round(sentAtMs - drainAtMs);
    run.note(`  ${request} ${path}, sent ${afterMs} ms after it was accepted, ended with ${status}`);
  }
  run.note(
    `${leaving.arrivals.length} requests reached ${id}, ` +
      `the last one at ${seconds(leaving.arrivals.at(-1)?.atMs)} s`,
  );
  run.note(
    `${late.length} of them later than drain_ms = ${bounds.drain_ms} after ` +
      `${seconds(drainAtMs)} s, when it was accepted that the replica leaves`,
  );
  for (const { id: request, atMs, ran } of late.slice(0, 20)) {
    const afterMs = Math.round(atMs - drainAtMs);
    run.note(`  ${request} ${afterMs} ms after it, ${ran ? "run" : "not run"}`);
  }
  const minimum = 100;
  if (answered.length < minimum) throw new Error("Too few requests were answered");
  return late.length > 0;
});
