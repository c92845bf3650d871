/** Replicas and callers that send far more than the entry can keep. */

import { connect } from "node:net";
import type { Random } from "../../soak/random.js";
import { delay } from "../../testbed/delay.js";
import { CALLER_WAYS } from "../standins/caller_crowd.js";
import { ENDLESS_BYTES } from "../standins/endless_bytes.js";
import { HOST, MAX_BODY_BYTES, type ReplicaMember } from "./fleet.js";
import { type Disturbance, FLOOD_KIND } from "./records.js";

/** Shortest and longest duration, ms. */
const DURATION_MS = { min: 300, max: 1_500 };
/** Longest pause between two floods, ms. */
const MAX_GAP_MS = 2_500;
/** Fewest and most callers of a flood. */
const CALLER_COUNT = { min: 1, max: 150 };
/** Share of the crowds whose callers don't all do the same. */
const MIXED_SHARE = 0.3;

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

async function runCallerFlood(options: FloodsOptions): Promise<void> {
  const { random, callerPorts, listKeys } = options;
  const port = random.pick(callerPorts);
  const key = random.pick(listKeys().valid);
  const crowdOptions = {
    maxBodyBytes: MAX_BODY_BYTES,
    createHead: (id: string, line: string) =>
      `POST /safe/a HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${id}\r\nAuthorization: Bearer ${key}\r\nDeadline-Ms: 1000\r\n${line}\r\n\r\n`,
  };
  const sends = Object.values(CALLER_WAYS);
  // A crowd of one kind, or of all kinds.
  const chosen = random.chance(MIXED_SHARE) ? sends : [random.pick(sends)];
  const count = random.pickInteger(CALLER_COUNT.min, CALLER_COUNT.max);
  const sockets = Array.from({ length: count }, (_, i) => {
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    socket.on("error", () => undefined);
    chosen[i % chosen.length]?.(socket, `f${i}`, crowdOptions);
    return socket;
  });
  await delay(random.pickInteger(DURATION_MS.min, DURATION_MS.max));
  for (const socket of sockets) socket.destroy();
}
