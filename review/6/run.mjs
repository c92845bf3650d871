/**
 * The operator takes the keys of the last tenant away: the new version of the
 * configuration has an empty list of tenants.
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
const SERVICE = "order-desk";
/** A key that no configuration ever holds. */
const UNKNOWN_KEY = "key-of-nobody";
const REQUESTS_PER_ENTRY = 10;
const PLAY_MS = 10_000;

const createRoute = (name, kind) => ({
  name,
  host: HOST,
  prefix: `/${name}/`,
  kind,
  service: SERVICE,
  attempts: 3,
  timeout_ms: 1_500,
  target_latency_ms: 120,
  priority: 2,
});
const createConfiguration = (version, tenants) => ({
  version,
  routes: [createRoute("orders", "unsafe"), createRoute("stock", "safe")],
  services: [{ name: SERVICE, max_conns: 100, health_path: "/healthz" }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants,
});
const farms = { name: "farms", api_keys: [KEY] };
const temples = { name: "temples", api_keys: ["key-of-temples"] };

const run = new Run(dirname(fileURLToPath(import.meta.url)));
await run.play(async () => {
  const store = new Store();
  const storePort = await findPort();
  await store.start(storePort, "127.0.2.1");
  run.onEnd(() => store.stop());
  // Without trouble another tenant stays.
  const others = hasTrouble ? [] : [temples];
  store.put("config", "main", createConfiguration(7, [farms, ...others]));

  const replicas = [];
  for (let index = 1; index <= 4; index++) {
    const replica = new Replica({
      id: `i-desk-${index}`,
      service: SERVICE,
      zone: `z-${index}`,
      slots: 6,
    });
    await replica.start(await findPort(), `127.0.3.${index}`);
    replica.register(store);
    run.onEnd(() => replica.stop());
    replicas.push(replica);
  }
  const names = ["front-1", "front-2", "front-3", "front-4"];
  const entries = await createEntries(run, names, {
    storeAddresses: names.map(() => `127.0.2.1:${storePort}`),
    seedsOf: (controls) => controls.slice(0, 3),
  });
  for (const entry of entries) entry.start();
  for (const entry of entries) await entry.waitUntilReady();

  const controller = new AbortController();
  const clientsOf = (key) => entries.map((entry) => new Client(entry, { host: HOST, key }));
  const known = clientsOf(KEY);
  const unknown = clientsOf(UNKNOWN_KEY);
  const send = (client, perSecond) =>
    sendAtRate(perSecond, controller.signal, (count) =>
      count % 2 === 0
        ? client.send("POST", `/orders/${count}`, { body: `order ${count}` })
        : client.send("GET", `/stock/${count}`),
    );
  const traffic = [
    ...known.map((client) => send(client, REQUESTS_PER_ENTRY)),
    ...unknown.map((client) => send(client, 1)),
  ];
  await pause(5_000);
  store.put("config", "main", createConfiguration(8, others));
  const ackAtMs = performance.now();
  const { tenants, version } = store.get("config", "main").spec;
  run.note(
    `the store has accepted version ${version} with tenants ${JSON.stringify(tenants)}: ` +
      `the key of ${farms.name} is taken away`,
  );
  await pause(PLAY_MS);
  controller.abort();
  await Promise.all(traffic);
  for (const client of [...known, ...unknown]) client.close();

  const describe = (title, requests) => {
    const counts = new Map();
    for (const { status } of requests) counts.set(status, (counts.get(status) ?? 0) + 1);
    const text = [...counts].map(([status, count]) => `${count} x ${status}`).join(", ");
    run.note(`${title}: ${text || "none"}`);
  };
  const requestsOf = (clients) => clients.flatMap(({ requests }) => requests);
  const limitMs = ackAtMs + bounds.revoke_ms;
  const before = requestsOf(known).filter(({ sentAtMs }) => sentAtMs < ackAtMs);
  const late = requestsOf(known).filter(({ sentAtMs }) => sentAtMs > limitMs);
  describe("answers to requests with the key before that", before);
  describe(`the same, sent later than revoke_ms = ${bounds.revoke_ms} after it`, late);
  describe("answers to requests with a key that no configuration held", requestsOf(unknown));
  if (before.filter(({ status }) => status === 200).length < 100)
    throw new Error("Too few requests were answered");
  const ranIds = new Set(
    replicas.flatMap(({ arrivals }) =>
      arrivals.filter(({ ran }) => ran).map(({ id }) => id),
    ),
  );
  const lateRuns = late.filter(({ id }) => ranIds.has(id));
  const unknownRuns = requestsOf(unknown).filter(({ id }) => ranIds.has(id));
  run.note(`${lateRuns.length} of the late requests with the withdrawn key ran`);
  run.note(`${unknownRuns.length} requests with the key that no configuration held ran`);
  const [first] = lateRuns;
  if (first) {
    const afterS = ((first.sentAtMs - ackAtMs) / 1_000).toFixed(1);
    run.note(`  the first one, ${first.id}, was sent at ${seconds(first.sentAtMs)} s, ${afterS} s after it`);
  }
  return lateRuns.length > 0 || unknownRuns.length > 0;
});
