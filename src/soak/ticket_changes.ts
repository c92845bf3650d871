/** Changes that operators make during a soak, each with its way back. */

import type { Ticket } from "../schema/index.js";
import {
  createAccount,
  createVersion,
  type Workload,
} from "../testbed/workloads.js";
import {
  ALL_VERSIONS,
  FIRST_VERSIONS,
  type Layout,
  ROLLOUT_VERSIONS,
  WORKLOADS,
} from "./layout.js";
import type { Random } from "./random.js";

export interface Change {
  readonly kind: string;
  readonly make: (number: number) => Ticket;
  readonly undo: (number: number) => Ticket;
}

export function createWithdrawalOf(name: string): Change {
  const version = createVersion(name);
  const create = (state: "active" | "withdrawn") => (number: number) => ({
    number,
    versions: [{ ...version, state }],
  });
  return {
    kind: "withdrawal",
    make: create("withdrawn"),
    undo: create("active"),
  };
}

/** Takes one version from all accounts. */
export function createAllPermissions(
  workloads: readonly Workload[],
  version: string,
): Change {
  const left = ALL_VERSIONS.filter((name) => name !== version);
  const create = (versions: readonly string[]) => (number: number) => ({
    number,
    accounts: workloads.flatMap((workload) =>
      workload.accounts.map((name) => createAccount(workload, name, versions)),
    ),
  });
  return { kind: "permission", make: create(left), undo: create(ALL_VERSIONS) };
}

function createPermission(random: Random): Change {
  const workload = random.pick(WORKLOADS);
  const account = createAccount(
    workload,
    random.pick(workload.accounts),
    ALL_VERSIONS,
  );
  const lost = random.pick([...ALL_VERSIONS, ...account.services]);
  const reduced = {
    ...account,
    versions: account.versions.filter((name) => name !== lost),
    services: account.services.filter((name) => name !== lost),
  };
  return {
    kind: "permission",
    make: (number) => ({ number, accounts: [reduced] }),
    undo: (number) => ({ number, accounts: [account] }),
  };
}

export function createDrainOf(name: string): Change {
  const create = (state: "in" | "out") => (number: number) => ({
    number,
    dataCentres: [{ name, state }],
  });
  return { kind: "drain", make: create("out"), undo: create("in") };
}

function listEngines(layout: Layout) {
  return layout.endpoints.filter((item) => item.kind === "engine");
}

/** Assigns the new version to some engines and stops half way. */
function createRollout(layout: Layout, random: Random): Change {
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
    make: (number) => ({
      number,
      endpoints: assign([...FIRST_VERSIONS, version]),
      rollouts: [{ version, share }],
    }),
    undo: (number) => ({
      number,
      endpoints: assign(FIRST_VERSIONS),
      remove: [`rollout/${version}`],
    }),
  };
}

export function createEndpointOutOf(name: string): Change {
  const create = (state: "in" | "out") => (number: number) => ({
    number,
    endpoints: [{ name, state, versions: [...FIRST_VERSIONS] }],
  });
  return { kind: "endpoint-out", make: create("out"), undo: create("in") };
}

const WEIGHTS = [
  { kind: "withdrawal", weight: 3 },
  { kind: "permission", weight: 4 },
  { kind: "drain", weight: 2 },
  { kind: "rollout", weight: 2 },
  { kind: "endpoint-out", weight: 1 },
] as const;

export function createChange(layout: Layout, random: Random): Change {
  const { kind } = random.chooseWeighted(WEIGHTS);
  switch (kind) {
    case "withdrawal":
      return createWithdrawalOf(random.pick(ALL_VERSIONS));
    case "permission":
      return createPermission(random);
    case "drain":
      return createDrainOf(random.pick(layout.dataCentres));
    case "rollout":
      return createRollout(layout, random);
    case "endpoint-out":
      return createEndpointOutOf(random.pick(listEngines(layout)).name);
  }
}
