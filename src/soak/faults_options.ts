/** What the faults of a soak run act on. */

import type { Fleet } from "../testbed/fleet.js";
import type { Journal } from "./journal.js";
import type { Load } from "./load.js";
import type { Members } from "./members.js";
import type { Operators } from "./operators.js";

export interface FaultsOptions {
  readonly fleet: Fleet;
  readonly journal: Journal;
  readonly members: Members;
  readonly load: Load;
  readonly operators: Operators;
}
