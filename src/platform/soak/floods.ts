/** Replicas and callers that send far more than the entry can keep. */

import { connect } from "node:net";
import type { Random } from "../../soak/random.js";
import { delay } from "../../testbed/delay.js";
import { ENDLESS_BYTES, writeEndlessly } from "../standins/endless_bytes.js";
import { HOST, type ReplicaMember } from "./fleet.js";
import { type Disturbance, FLOOD_KIND } from "./records.js";

/** Shortest and longest duration, ms. */
const DURATION_MS = { min: 300, max: 1_500 };
/** Longest pause between two floods, ms. */
const MAX_GAP_MS = 2_500;
/** Fewest and most callers of a flood. */
const CALLER_COUNT = { min: 1, max: 20 };
/** Pause of a caller between two blocks, ms. */
const BLOCK_PAUSE_MS = 2;

const SMALL_CHUNKS = Buffer.from("1\r\nx\r\n".repeat(10_000));
const REQUESTS_BEHIND_ONE_ANOTHER = 400;

export interface FloodsOptions {
  readonly random: Random;
  readonly untilMs: number;
  readonly listReplicas: () => readonly ReplicaMember[];
  /** Ports of the entries' links. */
  readonly callerPorts: readonly number[];
  readonly listKeys: () => { readonly valid: readonly string[] };
  readonly onFlood: (flood: Disturbance) => void;
}

/** Lets replicas, then callers, flood the entries, one at a time. */
export async function runFloods(options: FloodsOptions): Promise<void> {
  const { random, untilMs } = options;
  while (performance.now() < untilMs) {
    await delay(random.pickInteger(0, MAX_GAP_MS));
    await runReplicaFlood(options);
    await delay(random.pickInteger(0, MAX_GAP_MS));
    await runCallerFlood(options);
  }
}

async function runReplicaFlood(options: FloodsOptions): Promise<void> {
  const { random, listReplicas, onFlood } = options;
  const { id, replica } = random.pick(listReplicas());
  replica.options.endlessBytes = random.pick(Object.values(ENDLESS_BYTES));
  const flood = {
    kind: FLOOD_KIND,
    member: id,
    fromMs: performance.now(),
    toMs: Number.POSITIVE_INFINITY,
  };
  onFlood(flood);
  await delay(random.pickInteger(DURATION_MS.min, DURATION_MS.max));
  replica.options.endlessBytes = undefined;
  flood.toMs = performance.now();
}

/** What a caller writes first, and then again and again. */
const CALLER_FLOODS = {
  body: (head: (id: string, framing: string) => string) => ({
    first: head("f", "Transfer-Encoding: chunked"),
    next: SMALL_CHUNKS,
  }),
  requests: (head: (id: string, framing: string) => string) => ({
    first: "",
    next: Buffer.from(
      Array.from({ length: REQUESTS_BEHIND_ONE_ANOTHER }, (_, i) =>
        head(`f${i}`, "Content-Length: 0"),
      ).join(""),
    ),
  }),
} as const;

async function runCallerFlood(options: FloodsOptions): Promise<void> {
  const { random, callerPorts, listKeys } = options;
  const port = random.pick(callerPorts);
  const key = random.pick(listKeys().valid);
  const createHead = (id: string, framing: string) =>
    `POST /safe/a HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${id}\r\nAuthorization: Bearer ${key}\r\nDeadline-Ms: 1000\r\n${framing}\r\n\r\n`;
  const createFlood = random.pick(Object.values(CALLER_FLOODS));
  const { first, next } = createFlood(createHead);
  const count = random.pickInteger(CALLER_COUNT.min, CALLER_COUNT.max);
  const sockets = Array.from({ length: count }, () => {
    // Never reads, so that the answers pile up as well.
    const socket = connect(port, "127.0.0.1").pause();
    socket.on("error", () => undefined);
    socket.write(first);
    writeEndlessly(socket, next, BLOCK_PAUSE_MS);
    return socket;
  });
  await delay(random.pickInteger(DURATION_MS.min, DURATION_MS.max));
  for (const socket of sockets) socket.destroy();
}
