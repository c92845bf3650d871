/** Changes that operators make during a soak, each with its way back. */

import type { Ticket } from "../schema/index.js";
import {
  createAccount,
  createVersion,
  VERSIONS,
} from "../testbed/workloads.js";
import {
  FIRST_VERSIONS,
  type Layout,
  ROLLOUT_VERSION,
  WORKLOADS,
} from "./layout.js";
import type { Random } from "./random.js";

export interface Change {
  readonly kind: string;
  readonly make: (number: number) => Ticket;
  readonly undo: (number: number) => Ticket;
}

function createWithdrawal(random: Random): Change {
  const version = createVersion(random.pick(VERSIONS));
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

function createPermission(random: Random): Change {
  const workload = random.pick(WORKLOADS);
  const account = createAccount(workload, random.pick(workload.accounts));
  const lost = random.pick([...VERSIONS, ...account.services]);
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

function createDrain(layout: Layout, random: Random): Change {
  const name = random.pick(layout.dataCentres);
  const create = (state: "in" | "out") => (number: number) => ({
    number,
    dataCentres: [{ name, state }],
  });
  return { kind: "drain", make: create("out"), undo: create("in") };
}

/** Assigns the new version to some engines and stops half way. */
function createRollout(layout: Layout, random: Random): Change {
  const engines = layout.endpoints.filter((item) => item.kind === "engine");
  const half = random.shuffle(engines).slice(0, Math.ceil(engines.length / 2));
  const assign = (versions: readonly string[]) =>
    half.map(({ name }) => ({
      name,
      state: "in" as const,
      versions: [...versions],
    }));
  const version = ROLLOUT_VERSION;
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

function createEndpointOut(layout: Layout, random: Random): Change {
  const engines = layout.endpoints.filter((item) => item.kind === "engine");
  const { name } = random.pick(engines);
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
  const { kind } = random.pickWeighted(WEIGHTS);
  switch (kind) {
    case "withdrawal":
      return createWithdrawal(random);
    case "permission":
      return createPermission(random);
    case "drain":
      return createDrain(layout, random);
    case "rollout":
      return createRollout(layout, random);
    case "endpoint-out":
      return createEndpointOut(layout, random);
  }
}
