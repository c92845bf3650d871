/** Reads the engine's load reports for the gate. */

import type { ResultAsync } from "neverthrow";
import type { EngineReport } from "../core/index.js";
import { waitFor } from "../runtime/run_with_timeout.js";
import type { BackendFailure } from "./endpoint_backend.js";
import type { EndpointLog } from "./endpoint_runner.js";

export type ReadReport = (
  signal: AbortSignal,
) => ResultAsync<EngineReport, BackendFailure>;

interface PollOptions {
  readonly readReport: ReadReport;
  readonly onReport: (report: EngineReport) => void;
  readonly log: EndpointLog;
}

const PERIOD_MS = 500;
const TIMEOUT_MS = 2_000;

/** Passes reports on until the signal aborts. */
export async function readReports(
  options: PollOptions,
  signal: AbortSignal,
): Promise<void> {
  let hasFailed = false;
  while (!signal.aborted) {
    const limit = AbortSignal.any([signal, AbortSignal.timeout(TIMEOUT_MS)]);
    const result = await options.readReport(limit);
    if (signal.aborted) return;
    if (result.isOk()) {
      options.onReport(result.value);
    } else if (!hasFailed) {
      const { kind, detail } = result.error;
      options.log.warn({ kind, detail }, "load report failed");
    }
    hasFailed = result.isErr();
    await waitFor(PERIOD_MS, signal);
  }
}
