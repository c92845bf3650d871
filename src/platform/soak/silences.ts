/** Lets replicas that are sound fall silent for a while, some or all at once. */

import type { Random } from "../../soak/random.js";
import { delay } from "../../testbed/delay.js";
import { SILENCE_PLACE, type SilencePlace } from "../standins/silence.js";
import type { ReplicaMember } from "./fleet.js";
import { type Disturbance, SILENCE_KIND } from "./records.js";

/** Shortest and longest duration, ms. */
const DURATION_MS = { min: 500, max: 1_600 };
/** Longest pause between two silences, ms. */
const MAX_GAP_MS = 1_500;
/** Share of silences of all replicas. */
const ALL_SHARE = 0.3;
/** Largest difference between the ends of silences that began together, ms. */
const MAX_SPREAD_MS = 300;

export interface SilencesOptions {
  readonly random: Random;
  readonly untilMs: number;
  readonly listReplicas: () => readonly ReplicaMember[];
  readonly onSilence: (silence: Disturbance) => void;
}

export async function runSilences(options: SilencesOptions): Promise<void> {
  const { random, untilMs, listReplicas, onSilence } = options;
  while (performance.now() < untilMs) {
    await delay(random.pickInteger(0, MAX_GAP_MS));
    const all = random.shuffle(listReplicas());
    const count = random.chance(ALL_SHARE)
      ? all.length
      : random.pickInteger(1, all.length);
    const places = choosePlaces(random);
    const durationMs = random.pickInteger(DURATION_MS.min, DURATION_MS.max);
    const fromMs = performance.now();
    for (const { id, replica } of all.slice(0, count)) {
      const spreadMs = random.pickInteger(0, MAX_SPREAD_MS);
      const toMs = fromMs + Math.max(DURATION_MS.min, durationMs - spreadMs);
      replica.options.silence = { untilMs: toMs, places };
      onSilence({ kind: SILENCE_KIND, member: id, fromMs, toMs });
    }
    await delay(durationMs);
  }
}

/** One place, or all of them, as when the replica's link is silent. */
function choosePlaces(random: Random): SilencePlace[] {
  const places = Object.values(SILENCE_PLACE);
  return random.chance(0.5) ? places : [random.pick(places)];
}
