/** Faults in an order that reaches one guard, which chance reaches rarely. */

import { delay } from "../testbed/delay.js";
import type { Cuts } from "./cuts.js";
import type { FaultsOptions } from "./faults_options.js";
import { IN_FORCE_MS } from "./history.js";
import { FIRST_VERSIONS, ROLLOUT_VERSIONS, WORKLOADS } from "./layout.js";
import type { FaultAction, StaleChange } from "./plan.js";
import {
  type Change,
  createAllPermissions,
  createDrainOf,
  createEndpointOutOf,
  createWithdrawalOf,
} from "./ticket_changes.js";

export interface CompoundParts extends FaultsOptions {
  readonly cuts: Cuts;
}

type ActionOf<K extends FaultAction["kind"]> = FaultAction & { kind: K };

/** The entry goes on for this long after the change had to be in force. */
const STALE_MS = 3_000;
/** Receipts get copies in this time that the cut keeps from their release. */
const BEFORE_KILL_MS = 600;
/** For a first order to be under way. */
const ORDER_MS = 2_500;
const RESTART_MS = 200;
const STORE_DOWN_MS = 4_000;

function createStaleChange(
  change: StaleChange,
  place: { endpoint: string; dataCentre: string },
): Change {
  const [version] = FIRST_VERSIONS;
  switch (change) {
    case "drain":
      return createDrainOf(place.dataCentre);
    case "endpoint-out":
      return createEndpointOutOf(place.endpoint);
    case "withdrawal":
      return createWithdrawalOf(version);
    case "permission":
      return createAllPermissions(WORKLOADS, version);
  }
}

/**
 * Keeps the entries of a data centre from the store and from other entries, so
 * that they don't learn of a ticket, but leaves them their way to endpoints.
 */
export async function runStaleEntry(
  action: ActionOf<"stale-entry">,
  parts: CompoundParts,
  forMs: number,
): Promise<boolean> {
  const { fleet, operators, cuts } = parts;
  const { endpoint } = action;
  const { dataCentre: viewer } = fleet.getMember(action.member);
  const { dataCentre } = fleet.getMember(endpoint);
  const entries = fleet.members.filter(
    (member) => member.role === "entry" && member.dataCentre !== viewer,
  );
  const targets = ["store", ...entries.map((entry) => entry.name)];
  const change = createStaleChange(action.change, { endpoint, dataCentre });
  const forbid = async () => {
    await operators.apply(change.make);
    await delay(IN_FORCE_MS + STALE_MS);
  };
  const links = targets.map((target) => fleet.getLink(viewer, target));
  // Without a majority of the watchers the ticket is accepted only at the end.
  const healing = Promise.race([forbid(), delay(forMs)]);
  await cuts.cutUntil(links, { mode: "reset" }, healing);
  await operators.apply(change.undo);
  return true;
}

/** Kills an entry whose receipts are written but not released. */
export async function runKillBehindCut(
  action: ActionOf<"kill-behind-cut">,
  parts: CompoundParts,
  forMs: number,
): Promise<boolean> {
  const { fleet, members, cuts } = parts;
  const member = fleet.getMember(action.member);
  const links = fleet.endpointSpecs.map(({ name }) =>
    fleet.getLink(member.dataCentre, name),
  );
  const cut = cuts.cut(links, { mode: "reset" }, BEFORE_KILL_MS + forMs);
  await delay(BEFORE_KILL_MS);
  const hasKilled = await members.kill(member, forMs);
  await cut;
  return hasKilled;
}

/**
 * Ends an endpoint's process between two orders to its engine. The next one
 * has to wait the lease out, as not every engine refuses old orders.
 */
export async function takeOver(
  action: ActionOf<"take-over">,
  parts: CompoundParts,
  forMs: number,
): Promise<boolean> {
  const { fleet, members, operators } = parts;
  const { member: name } = action;
  const assign = (versions: readonly string[]) => (number: number) => ({
    number,
    endpoints: [{ name, state: "in" as const, versions: [...versions] }],
  });
  const [first, second] = ROLLOUT_VERSIONS;
  await operators.apply(assign([...FIRST_VERSIONS, first]));
  await delay(ORDER_MS);
  const hasKilled = await members.kill(fleet.getMember(name), RESTART_MS);
  await operators.apply(assign([...FIRST_VERSIONS, first, second]));
  await delay(forMs - ORDER_MS);
  await operators.apply(assign(FIRST_VERSIONS));
  return hasKilled;
}

/**
 * Keeps an entry from an endpoint that holds its receipts until the endpoint
 * takes it for lost, while the entry itself goes on.
 */
export async function runSealOfLiveOwner(
  action: ActionOf<"seal-live-owner">,
  parts: CompoundParts,
  forMs: number,
): Promise<boolean> {
  const { fleet, cuts } = parts;
  const { dataCentre } = fleet.getMember(action.member);
  const link = fleet.getLink(dataCentre, action.endpoint);
  await fleet.control("store", { outage: "refuse" });
  await delay(STORE_DOWN_MS / 2);
  const cut = cuts.cut([link], { mode: "reset" }, forMs - STORE_DOWN_MS / 2);
  await delay(STORE_DOWN_MS / 2);
  await fleet.control("store", { outage: "none" });
  await cut;
  return true;
}
