/**
 * The connections on which entries wait for roll-out orders go silent. The
 * operator then orders a roll-out to a bad version, whose replicas register.
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
  Proxy,
  Run,
  seconds,
  sendAtRate,
} from "../standins-2/fleet.mjs";
import { Replica } from "../standins-2/replica.mjs";
import { Store } from "../standins-2/store.mjs";

const HOST = "desk.example";
const KEY = "key-of-farms";
const SERVICE = "order-desk";
const REQUESTS_PER_ENTRY = 13;
const REPLICAS = 8;
const BAD_ANSWERS = 50;
/** As on the standard days of the small sites. */
const DURATION_S = 24;
const PLAY_MS = 22_000;

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
const configuration = {
  version: 7,
  routes: [createRoute("orders", "unsafe"), createRoute("stock", "safe")],
  services: [{ name: SERVICE, max_conns: 100, health_path: "/healthz" }],
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

  const startReplica = async (index, version, isBad) => {
    const replica = new Replica({
      id: `i-${version}-${index}`,
      service: SERVICE,
      zone: `z-${(index % 4) + 1}`,
      version,
      slots: 6,
      isBad,
    });
    const subnet = version === "v1" ? 3 : 4;
    await replica.start(await findPort(), `127.0.${subnet}.${index}`);
    run.onEnd(() => replica.stop());
    return replica;
  };
  const old = [];
  for (let index = 1; index <= REPLICAS; index++) {
    const replica = await startReplica(index, "v1");
    replica.register(store);
    old.push(replica);
  }

  const names = ["front-1", "front-2", "front-3", "front-4"];
  const proxies = [];
  const proxyPort = await findPort();
  for (const [index] of names.entries()) {
    const proxy = new Proxy(`127.0.2.1:${storePort}`);
    await proxy.start(proxyPort, `127.0.5.${index + 1}`);
    run.onEnd(() => proxy.stop());
    proxies.push(proxy);
  }
  const entries = await createEntries(run, names, {
    storeAddresses: proxies.map(({ address }) => address),
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
  await pause(4_000);

  // All machines start within 0.3 s of each other, so their calls for roll-outs
  // begin at about the same time.
  const listWaiting = () =>
    proxies.map(({ links }) =>
      links.find(({ first }) => first.includes("/objects/rollouts?watch=")),
    );
  const isYoung = (link) =>
    link !== undefined && performance.now() - link.openedAtMs < 1_500;
  const endMs = performance.now() + 20_000;
  while (!listWaiting().every(isYoung)) {
    if (performance.now() > endMs) throw new Error("No calls at the same time");
    await pause(10);
  }
  const silentAtMs = performance.now();
  if (hasTrouble) {
    for (const link of listWaiting()) link.isSilent = true;
    run.note("one open connection of each entry to the store goes silent");
  }
  await pause(300);
  const next = [];
  let badAnswers = 0;
  let fiftiethAtMs;
  const isBad = (() => {
    let count = 0;
    return () => {
      count++;
      if (count % 2 === 0) return false;
      badAnswers++;
      if (badAnswers === BAD_ANSWERS) fiftiethAtMs = performance.now();
      return true;
    };
  })();
  for (let index = 1; index <= REPLICAS; index++)
    next.push(await startReplica(index, "v2", isBad));
  const order = { service: SERVICE, target: "v2", duration_s: DURATION_S };
  store.put("rollouts", SERVICE, order);
  const orderAtMs = performance.now();
  run.note(`the operator orders ${JSON.stringify(order)}`);
  await pause(200);
  for (const replica of next) replica.register(store);
  run.note("the replicas of v2 have registered; half of their answers fail");

  let rolledBackAtMs;
  const playEndMs = performance.now() + PLAY_MS;
  while (performance.now() < playEndMs) {
    await pause(20);
    const state = store.get("rollouts", SERVICE).status?.state;
    if (rolledBackAtMs === undefined && state === "rolled_back") {
      rolledBackAtMs = performance.now();
      run.note("the system has written: rolled_back");
      setTimeout(() => {
        for (const replica of next) replica.drain();
      }, 3_000);
    }
    if (rolledBackAtMs && performance.now() > rolledBackAtMs + 3_000) break;
  }
  controller.abort();
  await Promise.all(traffic);
  for (const client of clients) client.close();

  const requests = clients.flatMap((client) => client.requests);
  const answered = requests.filter(({ status }) => status === 200);
  const failed = requests.filter(({ status }) => status === 500);
  run.note(
    `${requests.length} requests sent, ${answered.length} answered with 200, ` +
      `${failed.length} with a replica's 500`,
  );
  const arrivals = next.flatMap((replica) =>
    replica.arrivals.map((arrival) => ({ ...arrival, at: replica.options.id })),
  );
  run.note(`${arrivals.length} requests reached v2, ${badAnswers} got a bad answer`);
  for (const entry of entries) {
    const line = entry.log
      .split("\n")
      .find((text) => text.includes("event=rollout-ordered"));
    run.note(`${entry.options.name}: ${line ?? "has not read the order"}`);
  }
  if (answered.length < 200) throw new Error("Too few requests were answered");
  if (fiftiethAtMs === undefined) {
    run.note(`fewer than ${BAD_ANSWERS} bad answers`);
    return false;
  }
  const limitMs = fiftiethAtMs + bounds.rollback_ms;
  const sinceSilence = ((fiftiethAtMs - silentAtMs) / 1_000).toFixed(1);
  run.note(
    `the ${BAD_ANSWERS}th bad answer came at ${seconds(fiftiethAtMs)} s, ` +
      `${((fiftiethAtMs - orderAtMs) / 1_000).toFixed(1)} s after the order and ` +
      `${sinceSilence} s after the silence began`,
  );
  const late = arrivals.filter(
    ({ sentAtMs, status }) => sentAtMs > limitMs && status !== 421,
  );
  run.note(
    `${late.length} requests that were sent later than rollback_ms = ` +
      `${bounds.rollback_ms} after it reached v2`,
  );
  for (const { id, sentAtMs, at } of late.slice(0, 20))
    run.note(
      `  ${id} sent ${((sentAtMs - fiftiethAtMs) / 1_000).toFixed(1)} s after it, at ${at}`,
    );
  return late.length > 0;
});
