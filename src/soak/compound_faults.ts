/** Sequences of faults that test one guard, which single faults rarely do. */

import { delay } from "../testbed/delay.js";
import type { FaultInjectorOptions } from "./fault_injector_options.js";
import type { FaultAction, UnseenChange } from "./fault_plan.js";
import { INITIAL_VERSIONS, ROLLOUT_VERSIONS, WORKLOADS } from "./layout.js";
import type { LinkCuts } from "./link_cuts.js";
import { IN_FORCE_DELAY_MS } from "./revision_history.js";
import {
  createDrainOf,
  createEndpointOutOf,
  createVersionDenial,
  createWithdrawalOf,
  type TicketChange,
} from "./ticket_changes.js";

export interface CompoundFaultOptions extends FaultInjectorOptions {
  readonly cuts: LinkCuts;
}

type ActionOf<K extends FaultAction["kind"]> = FaultAction & { kind: K };

/** How long the entry stays cut off after the change must be in force. */
const STALE_ENTRY_MS = 3_000;
/** Time in which receipts are written while the cut delays their release. */
const CUT_BEFORE_KILL_MS = 600;
/** Time for the first load order to get under way. */
const FIRST_LOAD_ORDER_MS = 2_500;
const RESTART_DELAY_MS = 200;
const STORE_OUTAGE_MS = 4_000;

function createUnseenChange(
  change: UnseenChange,
  place: { endpoint: string; dataCentre: string },
): TicketChange {
  const [version] = INITIAL_VERSIONS;
  switch (change) {
    case "drain":
      return createDrainOf(place.dataCentre);
    case "endpoint-out":
      return createEndpointOutOf(place.endpoint);
    case "withdrawal":
      return createWithdrawalOf(version);
    case "permission":
      return createVersionDenial(WORKLOADS, version);
  }
}

/**
 * Cuts the entries of a data centre off from the store and from other entries,
 * so that they don't learn of a ticket, but not from the endpoints.
 */
export async function runStaleEntry(
  action: ActionOf<"stale-entry">,
  options: CompoundFaultOptions,
  durationMs: number,
): Promise<boolean> {
  const { fleet, operators, cuts } = options;
  const { endpoint } = action;
  const { dataCentre: fromDataCentre } = fleet.getMember(action.member);
  const { dataCentre } = fleet.getMember(endpoint);
  const entries = fleet.members.filter(
    (member) => member.role === "entry" && member.dataCentre !== fromDataCentre,
  );
  const targets = ["store", ...entries.map((entry) => entry.name)];
  const change = createUnseenChange(action.change, { endpoint, dataCentre });
  const applyChange = async () => {
    await operators.apply(change.createTicket);
    await delay(IN_FORCE_DELAY_MS + STALE_ENTRY_MS);
  };
  const links = targets.map((target) => fleet.getLink(fromDataCentre, target));
  // Without a majority of watchers, the ticket is accepted only after the cut.
  const cutEnd = Promise.race([applyChange(), delay(durationMs)]);
  await cuts.cutUntil(links, { mode: "reset" }, cutEnd);
  await operators.apply(change.createUndoTicket);
  return true;
}

/** Kills an entry whose receipts are written but not released. */
export async function runKillBehindCut(
  action: ActionOf<"kill-behind-cut">,
  options: CompoundFaultOptions,
  durationMs: number,
): Promise<boolean> {
  const { fleet, supervisor, cuts } = options;
  const member = fleet.getMember(action.member);
  const links = fleet.endpointSpecs.map(({ name }) =>
    fleet.getLink(member.dataCentre, name),
  );
  const cut = cuts.cut(
    links,
    { mode: "reset" },
    CUT_BEFORE_KILL_MS + durationMs,
  );
  await delay(CUT_BEFORE_KILL_MS);
  const hasKilled = await supervisor.kill(member, durationMs);
  await cut;
  return hasKilled;
}

/**
 * Kills an endpoint's process between two load orders to its engine. The next
 * process must let the lease run out, as not every engine refuses old orders.
 */
export async function runTakeOver(
  action: ActionOf<"take-over">,
  options: CompoundFaultOptions,
  durationMs: number,
): Promise<boolean> {
  const { fleet, supervisor, operators } = options;
  const { member: name } = action;
  const assign = (versions: readonly string[]) => (number: number) => ({
    number,
    endpoints: [{ name, state: "in" as const, versions: [...versions] }],
  });
  const [first, second] = ROLLOUT_VERSIONS;
  await operators.apply(assign([...INITIAL_VERSIONS, first]));
  await delay(FIRST_LOAD_ORDER_MS);
  const hasKilled = await supervisor.kill(
    fleet.getMember(name),
    RESTART_DELAY_MS,
  );
  await operators.apply(assign([...INITIAL_VERSIONS, first, second]));
  await delay(durationMs - FIRST_LOAD_ORDER_MS);
  await operators.apply(assign(INITIAL_VERSIONS));
  return hasKilled;
}

/**
 * Cuts an entry off from an endpoint that holds its receipts until the endpoint
 * considers the entry lost and seals its page, while the entry still runs.
 */
export async function runSealOfLiveOwner(
  action: ActionOf<"seal-live-owner">,
  options: CompoundFaultOptions,
  durationMs: number,
): Promise<boolean> {
  const { fleet, cuts } = options;
  const { dataCentre } = fleet.getMember(action.member);
  const link = fleet.getLink(dataCentre, action.endpoint);
  await fleet.control("store", { outage: "refuse" });
  await delay(STORE_OUTAGE_MS / 2);
  const cut = cuts.cut(
    [link],
    { mode: "reset" },
    durationMs - STORE_OUTAGE_MS / 2,
  );
  await delay(STORE_OUTAGE_MS / 2);
  await fleet.control("store", { outage: "none" });
  await cut;
  return true;
}
