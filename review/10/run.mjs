/**
 * A roll-out to a version that answers half of its requests with 404, where the
 * version before answers all of them with 200.
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
const REQUESTS_PER_ENTRY = 13;
const REPLICAS = 8;
const WORK_MS = 10;
const BAD_ANSWERS = 50;
const BAD_STATUS = 404;
/** As on the standard days of the small sites. */
const DURATION_S = 24;
const PLAY_MS = 34_000;

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

  let badAnswers = 0;
  let fiftiethAtMs;
  let count = 0;
  const isBad = () => {
    count++;
    if (!hasTrouble || count % 2 === 0) return false;
    badAnswers++;
    if (badAnswers === BAD_ANSWERS) fiftiethAtMs = performance.now();
    return true;
  };
  const startReplicas = async (version, subnet) => {
    const replicas = [];
    for (let index = 1; index <= REPLICAS; index++) {
      const replica = new Replica({
        id: `i-${version}-${index}`,
        service: SERVICE,
        zone: `z-${(index % 4) + 1}`,
        version,
        workMs: WORK_MS,
        slots: 6,
        ...(version === "v2" ? { isBad, badStatus: BAD_STATUS } : {}),
      });
      await replica.start(await findPort(), `127.0.${subnet}.${index}`);
      run.onEnd(() => replica.stop());
      replicas.push(replica);
    }
    return replicas;
  };
  const old = await startReplicas("v1", 3);
  for (const replica of old) replica.register(store);

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
    sendAtRate(REQUESTS_PER_ENTRY, controller.signal, (number) =>
      number % 2 === 0
        ? client.send("POST", `/orders/${number}`, { body: `order ${number}` })
        : client.send("GET", `/stock/${number}`),
    ),
  );
  await pause(4_000);

  const next = await startReplicas("v2", 4);
  const order = { service: SERVICE, target: "v2", duration_s: DURATION_S };
  store.put("rollouts", SERVICE, order);
  const orderAtMs = performance.now();
  const deadlineMs = orderAtMs + DURATION_S * 1_000;
  run.note(`the operator orders ${JSON.stringify(order)}`);
  for (const replica of next) replica.register(store);
  run.note(
    hasTrouble
      ? `the replicas of v2 have registered; they answer each second request with ${BAD_STATUS}`
      : "the replicas of v2 have registered; all their answers are good",
  );

  let state;
  const playEndMs = performance.now() + PLAY_MS;
  while (performance.now() < playEndMs) {
    await pause(20);
    const now = store.get("rollouts", SERVICE).status?.state;
    if (now === state || now === undefined) continue;
    state = now;
    run.note(`the system has written: ${state}`);
    if (state === "completed") for (const replica of old) replica.stop();
    if (state === "rolled_back")
      setTimeout(() => {
        for (const replica of next) replica.drain();
      }, 3_000);
  }
  controller.abort();
  await Promise.all(traffic);
  for (const client of clients) client.close();

  for (const { log } of entries)
    for (const line of log.split("\n"))
      if (line.includes("event=rollout-decided")) run.note(line);
  const requests = clients.flatMap((client) => client.requests);
  const answered = requests.filter(({ status }) => status === 200);
  const bad = requests.filter(({ status }) => status === BAD_STATUS);
  run.note(
    `${requests.length} requests sent, ${answered.length} answered with 200, ` +
      `${bad.length} with a replica's ${BAD_STATUS}`,
  );
  const arrivals = next.flatMap((replica) => replica.arrivals);
  const olds = old.flatMap((replica) => replica.arrivals);
  run.note(`${arrivals.length} requests reached v2, ${badAnswers} got a bad answer`);
  if (answered.length < 200) throw new Error("Too few requests were answered");
  if (badAnswers === 0) {
    run.note("the version is good");
    return false;
  }
  const isInTime = ({ atMs }) => atMs >= orderAtMs && atMs <= deadlineMs;
  const toBad = arrivals.filter(isInTime).length;
  const toService = toBad + olds.filter(isInTime).length;
  const most = bounds.expose_share * toService + bounds.expose_slack;
  run.note(
    `between the order and its deadline v2 got ${toBad} of ${toService} requests; ` +
      `allowed are ${Math.floor(most)}`,
  );
  let isBroken = toBad > most;
  if (fiftiethAtMs !== undefined) {
    const limitMs = fiftiethAtMs + bounds.rollback_ms;
    const late = arrivals.filter(
      ({ sentAtMs, status }) => sentAtMs > limitMs && status !== 421,
    );
    run.note(
      `the ${BAD_ANSWERS}th bad answer came at ${seconds(fiftiethAtMs)} s; ${late.length} ` +
        `requests that were sent later than rollback_ms = ${bounds.rollback_ms} after it reached v2`,
    );
    if (late.length > 0) isBroken = true;
  }
  return isBroken;
});
