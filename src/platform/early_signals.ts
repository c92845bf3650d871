/** Takes the process's signals as soon as this module runs. */

import { ProcessSignals } from "./process_signals.js";

export const earlySignals = new ProcessSignals();
