/**
 * Lets some replicas write earlier answers of kept connections once more,
 * while few slots and bursts of orders make them refuse.
 */

import type { Random } from "../../soak/random.js";
import { delay } from "../../testbed/delay.js";
import {
  REPEAT_TIME,
  REPEATED_ANSWER,
  type RepeatOptions,
} from "../standins/repeated_answers.js";
import type { ReplicaMember } from "./fleet.js";

/** Shortest and longest duration, ms. */
const DURATION_MS = { min: 2_000, max: 5_000 };
/** Longest pause between two faults, ms. */
const MAX_GAP_MS = 2_000;
/** Fewest and most replicas that repeat answers at a time. */
const REPLICA_COUNT = { min: 2, max: 4 } as const;
const SLOTS = [1, 2, 3];
/** Shortest and longest time between two bursts, ms. */
const BURST_GAP_MS = { min: 200, max: 800 };

/**
 * Replicas take these in turn, so that a short run has most. Refusals come
 * twice, as few follow each other on one connection.
 */
const REPEATS: readonly RepeatOptions[] = Object.values(REPEAT_TIME).flatMap(
  (time) => [
    { time, answer: REPEATED_ANSWER.refusal },
    { time, answer: REPEATED_ANSWER.complete },
    { time, answer: REPEATED_ANSWER.refusal },
  ],
);

export interface RepeatFaultsOptions {
  readonly random: Random;
  readonly untilMs: number;
  readonly listReplicas: () => readonly ReplicaMember[];
  /** Sends many orders at once; resolves with the last answer. */
  readonly sendBurst: () => Promise<void>;
  readonly onFault: () => void;
}

export async function runRepeatFaults(
  options: RepeatFaultsOptions,
): Promise<void> {
  const { random, untilMs, listReplicas, sendBurst, onFault } = options;
  const repeats = random.shuffle(REPEATS);
  const bursts: Promise<void>[] = [];
  let count = 0;
  while (performance.now() < untilMs) {
    await delay(random.pickInteger(0, MAX_GAP_MS));
    onFault();
    const replicas = random
      .shuffle(listReplicas())
      .slice(0, random.pickInteger(REPLICA_COUNT.min, REPLICA_COUNT.max));
    for (const { replica } of replicas) {
      replica.options.slots = random.pick(SLOTS);
      replica.options.repeats = repeats[count++ % repeats.length];
    }
    const { min, max } = DURATION_MS;
    const endMs = performance.now() + random.pickInteger(min, max);
    while (performance.now() < endMs) {
      bursts.push(sendBurst());
      await delay(random.pickInteger(BURST_GAP_MS.min, BURST_GAP_MS.max));
    }
    for (const { replica } of replicas) {
      replica.options.slots = undefined;
      replica.options.repeats = undefined;
    }
  }
  await Promise.all(bursts);
}
