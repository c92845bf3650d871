/**
 * A replica crashes while the store is down and starts again under the id that
 * it had, cold. It can't register itself before the store is back.
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
const SERVICE = "advisor";
const REQUESTS_PER_ENTRY = 30;
const REPLICAS = 3;
/** As at the model replicas of the small sites. */
const COLD_PER_S = 14;
const COLD_S = 3;
/** As on the standard days of the small sites. */
const STORE_DOWN_MS = 4_500;
const REPLICA_DOWN_MS = 1_000;

const configuration = {
  version: 7,
  routes: [
    {
      name: "lookups",
      host: HOST,
      prefix: "/lookups/",
      kind: "safe",
      service: SERVICE,
      attempts: 3,
      timeout_ms: 4_000,
      target_latency_ms: 1_000,
      priority: 2,
    },
  ],
  services: [
    {
      name: SERVICE,
      max_conns: 360,
      health_path: "/healthz",
      cold_start_s: COLD_S,
      cold_per_s: COLD_PER_S,
    },
  ],
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

  const ports = [];
  const startReplica = async (index, coldMs) => {
    const replica = new Replica({
      id: `i-${index}`,
      service: SERVICE,
      zone: `z-${index}`,
      coldMs,
    });
    ports[index] ??= await findPort();
    await replica.start(ports[index], `127.0.3.${index}`);
    replica.register(store);
    run.onEnd(() => replica.stop());
    return replica;
  };
  const replicas = [];
  for (let index = 1; index <= REPLICAS; index++)
    replicas.push(await startReplica(index, 0));

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
      client.send("GET", `/lookups/${count}`, { deadlineMs: 4_000 }),
    ),
  );
  await pause(8_000);
  if (hasTrouble) {
    store.isDown = true;
    run.note("the store is down");
    setTimeout(() => {
      store.isDown = false;
      run.note("the store is back");
    }, STORE_DOWN_MS);
  }
  await pause(200);
  const [, crashed] = replicas;
  crashed.crash();
  run.note(`${crashed.options.id} crashes`);
  await pause(REPLICA_DOWN_MS);
  const again = await startReplica(2, COLD_S * 1_000);
  run.note(`${again.options.id} runs again under its id, cold for ${COLD_S} s`);
  await pause(COLD_S * 1_000 + 2_000);
  controller.abort();
  await Promise.all(traffic);
  for (const client of clients) client.close();

  const requests = clients.flatMap((client) => client.requests);
  const answered = requests.filter(({ status }) => status === 200);
  run.note(`${requests.length} requests sent, ${answered.length} answered with 200`);
  if (answered.length < 200) throw new Error("Too few requests were answered");
  const limit = COLD_PER_S * bounds.cold_overage + bounds.cold_slack;
  const counted = again.arrivals.filter(({ isCold, status }) => isCold && status !== 421);
  let most = 0;
  let mostAtMs = 0;
  for (const { atMs: startMs } of counted) {
    const isInside = ({ atMs, sentAtMs }) =>
      sentAtMs >= startMs - 5 && atMs >= startMs && atMs < startMs + 1_000;
    const count = counted.filter(isInside).length;
    if (count > most) [most, mostAtMs] = [count, startMs];
  }
  run.note(
    `${again.options.id} got ${counted.length} requests while it was cold, ` +
      `${most} within the second from ${seconds(mostAtMs)} s; allowed are ${limit}`,
  );
  return most > limit;
});
