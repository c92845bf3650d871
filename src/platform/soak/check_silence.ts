/** Checks that no entry ends a request since its replica is silent. */

import type { Findings } from "../../soak/findings.js";
import { CALM_BEFORE_MS, describeCall, isCalm } from "./calm.js";
import { hasGraceEnded } from "./has_grace_ended.js";
import type { Property } from "./properties.js";
import type { CallRecord, RunRecord, SoakRecords } from "./records.js";

/** A request that ends no earlier before its deadline has reached it, ms. */
const DEADLINE_MARGIN_MS = 100;
/** Time for a replica's earlier fault to reach an entry, ms. */
const FAULT_TRANSIT_MS = 200;

/**
 * The call ends with a whole answer or a refusal, unless its deadline is
 * reached. Replicas that refused it, and faults of others, excuse nothing: the
 * silent one goes on.
 */
export function checkSilence(
  call: CallRecord,
  runs: readonly RunRecord[],
  records: SoakRecords,
  findings: Findings<Property>,
): void {
  const silent = runs.filter(({ wasSilent }) => wasSilent);
  if (silent.length === 0) return;
  const { sentAtMs, endedAtMs, deadlineMs, entry, status, isComplete } = call;
  const isAnswered = status !== undefined && isComplete;
  const hasReachedDeadline =
    endedAtMs > sentAtMs + deadlineMs - DEADLINE_MARGIN_MS;
  if (!isAnswered && hasReachedDeadline) return;
  if (!isAnswered && hasGraceEnded(call, runs, records)) return;
  const entryFaults = records.disturbances.filter(
    ({ member }) => member !== undefined,
  );
  const own = { ...records, disturbances: entryFaults };
  const toMs = endedAtMs;
  const isEntryCalm = isCalm(
    own,
    new Set([entry]),
    { fromMs: sentAtMs - CALM_BEFORE_MS, toMs },
    { ignorePlanned: true },
  );
  const replicas = new Set(runs.map(({ replica }) => replica));
  const fromMs = sentAtMs - FAULT_TRANSIT_MS;
  if (!isEntryCalm || !isCalm(own, replicas, { fromMs, toMs })) return;
  const names = silent.map(({ replica }) => replica).join(", ");
  findings.check("cutBySilence", isAnswered, () =>
    describeCall(call, `no complete answer, ${names} silent`),
  );
}
