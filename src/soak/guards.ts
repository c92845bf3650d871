/** Guards that `--break` switches off, and the property that each keeps. */

import type { Property } from "./findings.js";

export const GUARDS = {} as const satisfies Record<string, Property>;

export type GuardName = string;

export function listGuards(): string[] {
  return Object.keys(GUARDS);
}

export function isGuard(name: string): boolean {
  return Object.hasOwn(GUARDS, name);
}
