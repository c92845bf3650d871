/** What the faults of a soak run act on. */

import type { Fleet } from "../testbed/fleet.js";
import type { Journal } from "./journal.js";
import type { LoadGenerator } from "./load_generator.js";
import type { Operators } from "./operators.js";
import type { ProcessSupervisor } from "./process_supervisor.js";

export interface FaultInjectorOptions {
  readonly fleet: Fleet;
  readonly journal: Journal;
  readonly supervisor: ProcessSupervisor;
  readonly loadGenerator: LoadGenerator;
  readonly operators: Operators;
}
