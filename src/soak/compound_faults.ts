/** Faults in an order that reaches one guard, which chance reaches rarely. */

import { delay } from "../testbed/delay.js";
import type { Cuts } from "./cuts.js";
import type { FaultsOptions } from "./faults.js";
import { IN_FORCE_MS } from "./history.js";
import { FIRST_VERSIONS, WORKLOADS } from "./layout.js";
import type { FaultAction, LateChange } from "./plan.js";
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

/** Work that is sent and held in this time arrives after the change. */
const COLLECT_MS = 1_200;
/** The held work arrives this long after it had to be refused. */
const LATE_MS = 400;
/** Receipts get copies in this time that the cut keeps from their release. */
const BEFORE_KILL_MS = 600;
const STORE_DOWN_MS = 4_000;

function createLateChange(
  change: LateChange,
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

/** Holds dispatches on their way until a ticket has long forbidden them. */
export async function dispatchLate(
  action: ActionOf<"late-dispatch">,
  parts: CompoundParts,
  forMs: number,
): Promise<boolean> {
  const { fleet, operators, cuts } = parts;
  const { endpoint, change: kind } = action;
  const { dataCentre } = fleet.getMember(endpoint);
  const links = fleet.dataCentres.map((viewer) =>
    fleet.getLink(viewer, endpoint),
  );
  const change = createLateChange(kind, { endpoint, dataCentre });
  const forbid = async () => {
    await delay(COLLECT_MS);
    await operators.apply(change.make);
    await delay(IN_FORCE_MS + LATE_MS);
  };
  const options = { mode: "hold", direction: "requests" } as const;
  await cuts.cutUntil(links, options, forbid());
  await delay(Math.max(LATE_MS, forMs - IN_FORCE_MS - COLLECT_MS));
  await operators.apply(change.undo);
  return true;
}

/** Kills an entry whose receipts are written but not released. */
export async function killBehindCut(
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
 * Keeps an entry from an endpoint that holds its receipts until the endpoint
 * takes it for lost, while the entry itself goes on.
 */
export async function sealLiveOwner(
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
