/**
 * Measures the processor time that one real entry and one real endpoint
 * process take for a request of a streaming caller. Two answer lengths tell
 * the cost per request from the cost per chunk.
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
const ENGINE_SLOTS = 16;
const SHORT_ANSWER_TOKENS = 20;
const LONG_ANSWER_TOKENS = 200;
/** From the start of the fleet to the first ticket. */
const START_UP_MS = 5_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

interface PathSample {
  readonly tokens: number;
  readonly requests: number;
  readonly entryMicroseconds: number;
  readonly endpointMicroseconds: number;
  readonly entryMb: number;
  readonly endpointMb: number;
}

async function measureAnswerLength(
  fleet: Fleet,
  tokens: number,
): Promise<PathSample> {
  const entry = fleet.getMember("entry-a");
  const pids = ["entry-a", "engine-a"].map(
    (name) => fleet.getMember(name).process?.pid ?? 0,
  );
  const stopAtMs = performance.now() + cli.flags.seconds * 1_000;
  const cpuSecondsBefore = pids.map(readCpuSeconds);
  let requests = 0;
  await Promise.all(
    Array.from({ length: cli.flags.callers }, async () => {
      while (performance.now() < stopAtMs) {
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
  const [entryCpuSeconds = 0, endpointCpuSeconds = 0] = pids.map(
    (pid, index) => readCpuSeconds(pid) - (cpuSecondsBefore[index] ?? 0),
  );
  const computeMicroseconds = (cpuSeconds: number) =>
    Math.round((cpuSeconds / requests) * MICROSECONDS_PER_SECOND);
  return {
    tokens,
    requests,
    entryMicroseconds: computeMicroseconds(entryCpuSeconds),
    endpointMicroseconds: computeMicroseconds(endpointCpuSeconds),
    entryMb: readResidentMegabytes(pids[0]),
    endpointMb: readResidentMegabytes(pids[1]),
  };
}

/** Splits the cost of a request into a fixed part and one per chunk. */
function computeSlopes(short: PathSample, long: PathSample) {
  const extraChunks = long.tokens - short.tokens;
  const fitLine = (key: "entryMicroseconds" | "endpointMicroseconds") => {
    const perChunk = (long[key] - short[key]) / extraChunks;
    return {
      perChunk: Math.round(perChunk),
      perRequest: Math.round(short[key] - perChunk * short.tokens),
    };
  };
  return {
    entry: fitLine("entryMicroseconds"),
    endpoint: fitLine("endpointMicroseconds"),
  };
}

async function measurePath(fleet: Fleet): Promise<void> {
  await fleet.start();
  const { operatorPort: port } = fleet.getMember("entry-a");
  const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
  const body = createSetupTicket(1, [YUSHAN], ["dc1"]);
  await delay(START_UP_MS);
  await callJson({ port, method: "POST", path: "/tickets", headers, body });
  await measureAnswerLength(fleet, SHORT_ANSWER_TOKENS);
  const short = await measureAnswerLength(fleet, SHORT_ANSWER_TOKENS);
  const long = await measureAnswerLength(fleet, LONG_ANSWER_TOKENS);
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
        slots: ENGINE_SLOTS,
        slotsWhileCold: ENGINE_SLOTS,
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
