/** The fault of a sound replica that sends nothing for a while and goes on. */

import { delay } from "../../testbed/delay.js";

/** Where an answer pauses. */
export const SILENCE_PLACE = {
  beforeHead: "before-head",
  /** Between the two halves of a plain body. */
  inBody: "in-body",
  /** Behind an event of a stream. */
  inStream: "in-stream",
} as const;
export type SilencePlace = (typeof SILENCE_PLACE)[keyof typeof SILENCE_PLACE];

export interface Silence {
  /** Steady clock, ms. */
  readonly untilMs: number;
  readonly places: readonly SilencePlace[];
}

export function isSilent(
  silence: Silence | undefined,
  place: SilencePlace,
): silence is Silence {
  if (silence === undefined || !silence.places.includes(place)) return false;
  return performance.now() < silence.untilMs;
}

export async function waitForEnd({ untilMs }: Silence): Promise<void> {
  await delay(untilMs - performance.now());
}
