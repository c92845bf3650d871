/**
 * Measures what a request costs on its way: processor time of one real entry
 * and one real endpoint process under streaming callers, at two answer lengths
 * for the cost per request and per chunk.
 */

import { setMaxListeners } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import meow from "meow";
import { sendChat } from "../testbed/callers.js";
import { delay } from "../testbed/delay.js";
import { Fleet, OPERATOR_TOKEN } from "../testbed/fleet.js";
import { callJson } from "../testbed/http_calls.js";
import {
  readCpuSeconds,
  readResidentMegabytes,
} from "../testbed/process_usage.js";
import { createSetupTicket, getApiKey, YUSHAN } from "../testbed/workloads.js";

const cli = meow(
  `
  Usage
    $ npm run bench:path

  Options
    --callers N  concurrent streaming callers (12)
    --seconds S  measured time of each length (15)
`,
  {
    importMeta: import.meta,
    flags: {
      callers: { type: "number", default: 12 },
      seconds: { type: "number", default: 15 },
    },
  },
);

const BASE_PORT = 27_500;
const SLOTS = 16;
const SHORT_TOKENS = 20;
const LONG_TOKENS = 200;
const SETTLE_MS = 5_000;
const MICROSECONDS = 1_000_000;

interface PathSample {
  readonly tokens: number;
  readonly requests: number;
  readonly entryMicroseconds: number;
  readonly endpointMicroseconds: number;
  readonly entryMb: number;
  readonly endpointMb: number;
}

async function measureLength(
  fleet: Fleet,
  tokens: number,
): Promise<PathSample> {
  const entry = fleet.getMember("entry-a");
  const pids = ["entry-a", "engine-a"].map(
    (name) => fleet.getMember(name).process?.pid ?? 0,
  );
  const stopMs = performance.now() + cli.flags.seconds * 1_000;
  const before = pids.map(readCpuSeconds);
  let requests = 0;
  await Promise.all(
    Array.from({ length: cli.flags.callers }, async () => {
      while (performance.now() < stopMs) {
        const outcome = await sendChat({
          port: entry.callerPort,
          apiKey: getApiKey("installers"),
          requestClass: "sizing_report",
          model: "small-1",
          prompt: "site",
          maxTokens: tokens,
          stream: true,
        });
        if (outcome.kind === "answered" && outcome.isWhole) requests += 1;
      }
    }),
  );
  const [entryCpu = 0, endpointCpu = 0] = pids.map(
    (pid, index) => readCpuSeconds(pid) - (before[index] ?? 0),
  );
  const perRequest = (cpu: number) =>
    Math.round((cpu / requests) * MICROSECONDS);
  return {
    tokens,
    requests,
    entryMicroseconds: perRequest(entryCpu),
    endpointMicroseconds: perRequest(endpointCpu),
    entryMb: readResidentMegabytes(pids[0]),
    endpointMb: readResidentMegabytes(pids[1]),
  };
}

function computeSlopes(short: PathSample, long: PathSample) {
  const chunks = long.tokens - short.tokens;
  const solve = (key: "entryMicroseconds" | "endpointMicroseconds") => {
    const perChunk = (long[key] - short[key]) / chunks;
    return {
      perChunk: Math.round(perChunk),
      perRequest: Math.round(short[key] - perChunk * short.tokens),
    };
  };
  return {
    entry: solve("entryMicroseconds"),
    endpoint: solve("endpointMicroseconds"),
  };
}

async function measurePath(fleet: Fleet): Promise<void> {
  await fleet.start();
  const { operatorPort: port } = fleet.getMember("entry-a");
  const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
  const body = createSetupTicket(1, [YUSHAN], ["dc1"]);
  await delay(SETTLE_MS);
  await callJson({ port, method: "POST", path: "/tickets", headers, body });
  await measureLength(fleet, SHORT_TOKENS);
  const short = await measureLength(fleet, SHORT_TOKENS);
  const long = await measureLength(fleet, LONG_TOKENS);
  const slopes = computeSlopes(short, long);
  process.stdout.write(`${JSON.stringify({ short, long, slopes })}\n`);
}

const folder = mkdtempSync(join(tmpdir(), "hornbeamrill-path-"));
const lifetime = new AbortController();
setMaxListeners(0, lifetime.signal);
const fleet = new Fleet(
  {
    entries: [{ name: "entry-a", dataCentre: "dc1" }],
    endpoints: [
      {
        name: "engine-a",
        dataCentre: "dc1",
        kind: "engine",
        versions: ["small-1"],
        slots: SLOTS,
        slotsWhileCold: SLOTS,
      },
    ],
    basePort: BASE_PORT,
    folder,
    seed: 1,
    hostListLagMs: 100,
  },
  lifetime.signal,
);
await measurePath(fleet).finally(() => lifetime.abort());
rmSync(folder, { recursive: true });
process.exit(0);
