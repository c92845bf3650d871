/** Generates random steps for the model test of the gate. */

import fc from "fast-check";
import type { FleetState } from "../schema/index.js";
import { createTestState, createVersion } from "./gate_fixtures_test.js";

export const MAX_REQUEST_NUMBER = 60;

export const stepArbitrary = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant("dispatch" as const),
      id: fc.nat({ max: MAX_REQUEST_NUMBER }),
      account: fc.constantFrom("pumps", "pumps", "ropes", "nobody"),
      version: fc.constantFrom("small-1", "small-2"),
      isRightEpoch: fc.constantFrom(true, true, false),
      priority: fc.constantFrom("urgent", "interactive", "batch"),
      remainingMs: fc.constantFrom(0, 2_000, 30_000, 30_000),
      revisionsAhead: fc.constantFrom(0, 0, 0, 1),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("finish" as const),
      index: fc.nat({ max: 4 }),
      failed: fc.constantFrom(false, false, false, true),
    }),
  },
  fc.record({
    type: fc.constantFrom("revoke" as const, "cancel" as const),
    id: fc.nat({ max: MAX_REQUEST_NUMBER }),
  }),
  fc.record({
    type: fc.constant("report" as const),
    startId: fc.constantFrom("s1", "s1", "s1", "s2"),
    cold: fc.constantFrom(true, false, false),
  }),
  fc.record({
    type: fc.constant("state" as const),
    change: fc.constantFrom(
      "withdraw",
      "forbid",
      "out",
      "in",
      "in",
      "restore",
      "restore",
    ),
  }),
  fc.record({
    type: fc.constant("time" as const),
    ms: fc.constantFrom(1, 50, 50, 400, 400, 9_000),
  }),
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constantFrom("confirm" as const, "fetched" as const),
    }),
  },
  fc.record({
    type: fc.constant("leaving" as const),
    value: fc.constantFrom(true, false, false, false),
  }),
);

export type Step =
  typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

export const WARM_UP_DISPATCH: Step & { type: "dispatch" } = {
  type: "dispatch",
  id: 0,
  account: "pumps",
  version: "small-1",
  isRightEpoch: true,
  priority: "batch",
  remainingMs: 30_000,
  revisionsAhead: 0,
};

export function changeState(state: FleetState, change: string): FleetState {
  const next = structuredClone(state);
  const initial = createTestState();
  next.revision += 1;
  if (change === "withdraw") {
    next.versions["small-2"] = createVersion("small-2", "withdrawn");
  }
  if (change === "out") next.dataCentres.dc1 = { name: "dc1", state: "out" };
  if (change === "in") next.dataCentres = {};
  const ropes = next.accounts.ropes;
  if (change === "forbid" && ropes !== undefined) {
    next.accounts.ropes = { ...ropes, versions: [], services: [] };
  }
  if (change === "restore") {
    next.accounts = initial.accounts;
    next.versions = initial.versions;
  }
  return next;
}
