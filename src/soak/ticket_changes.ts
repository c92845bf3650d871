/** Changes that operators make during a soak, each with its reverting ticket. */

import type { Ticket } from "../schema/index.js";
import {
  createAccount,
  createVersion,
  type Workload,
} from "../testbed/workloads.js";
import {
  ALL_VERSIONS,
  INITIAL_VERSIONS,
  type Layout,
  ROLLOUT_VERSIONS,
  WORKLOADS,
} from "./layout.js";
import type { Random } from "./random.js";

export interface TicketChange {
  readonly kind: string;
  readonly createTicket: (number: number) => Ticket;
  readonly createUndoTicket: (number: number) => Ticket;
}

export function createWithdrawalOf(name: string): TicketChange {
  const version = createVersion(name);
  const create = (state: "active" | "withdrawn") => (number: number) => ({
    number,
    versions: [{ ...version, state }],
  });
  return {
    kind: "withdrawal",
    createTicket: create("withdrawn"),
    createUndoTicket: create("active"),
  };
}

/** Takes the permission for one version from all accounts. */
export function createVersionDenial(
  workloads: readonly Workload[],
  version: string,
): TicketChange {
  const remaining = ALL_VERSIONS.filter((name) => name !== version);
  const create = (versions: readonly string[]) => (number: number) => ({
    number,
    accounts: workloads.flatMap((workload) =>
      workload.accounts.map((name) => createAccount(workload, name, versions)),
    ),
  });
  return {
    kind: "permission",
    createTicket: create(remaining),
    createUndoTicket: create(ALL_VERSIONS),
  };
}

function createPermissionLoss(random: Random): TicketChange {
  const workload = random.pick(WORKLOADS);
  const account = createAccount(
    workload,
    random.pick(workload.accounts),
    ALL_VERSIONS,
  );
  const removed = random.pick([...ALL_VERSIONS, ...account.services]);
  const reduced = {
    ...account,
    versions: account.versions.filter((name) => name !== removed),
    services: account.services.filter((name) => name !== removed),
  };
  return {
    kind: "permission",
    createTicket: (number) => ({ number, accounts: [reduced] }),
    createUndoTicket: (number) => ({ number, accounts: [account] }),
  };
}

export function createDrainOf(name: string): TicketChange {
  const create = (state: "in" | "out") => (number: number) => ({
    number,
    dataCentres: [{ name, state }],
  });
  return {
    kind: "drain",
    createTicket: create("out"),
    createUndoTicket: create("in"),
  };
}

function listEngines(layout: Layout) {
  return layout.endpoints.filter((item) => item.kind === "engine");
}

/** Starts a roll-out, with the new version on only half of the engines. */
function createRollout(layout: Layout, random: Random): TicketChange {
  const engines = listEngines(layout);
  const half = random.shuffle(engines).slice(0, Math.ceil(engines.length / 2));
  const assign = (versions: readonly string[]) =>
    half.map(({ name }) => ({
      name,
      state: "in" as const,
      versions: [...versions],
    }));
  const version = random.pick(ROLLOUT_VERSIONS);
  const share = random.pick([0.1, 0.5, 1]);
  return {
    kind: "rollout",
    createTicket: (number) => ({
      number,
      endpoints: assign([...INITIAL_VERSIONS, version]),
      rollouts: [{ version, share }],
    }),
    createUndoTicket: (number) => ({
      number,
      endpoints: assign(INITIAL_VERSIONS),
      remove: [`rollout/${version}`],
    }),
  };
}

export function createEndpointOutOf(name: string): TicketChange {
  const create = (state: "in" | "out") => (number: number) => ({
    number,
    endpoints: [{ name, state, versions: [...INITIAL_VERSIONS] }],
  });
  return {
    kind: "endpoint-out",
    createTicket: create("out"),
    createUndoTicket: create("in"),
  };
}

const CHANGE_WEIGHTS = [
  { kind: "withdrawal", weight: 3 },
  { kind: "permission", weight: 4 },
  { kind: "drain", weight: 2 },
  { kind: "rollout", weight: 2 },
  { kind: "endpoint-out", weight: 1 },
] as const;

export function createRandomChange(
  layout: Layout,
  random: Random,
): TicketChange {
  const { kind } = random.chooseWeighted(CHANGE_WEIGHTS);
  switch (kind) {
    case "withdrawal":
      return createWithdrawalOf(random.pick(ALL_VERSIONS));
    case "permission":
      return createPermissionLoss(random);
    case "drain":
      return createDrainOf(random.pick(layout.dataCentres));
    case "rollout":
      return createRollout(layout, random);
    case "endpoint-out":
      return createEndpointOutOf(random.pick(listEngines(layout)).name);
  }
}
