/** Reads the engine's load reports for the gate. */

import type { ResultAsync } from "neverthrow";
import type { EngineReport } from "../core/index.js";
import { waitFor } from "../runtime/run_with_timeout.js";
import type { EndpointLog } from "./endpoint_runner.js";
import type { BackendFailure } from "./run_backend.js";

export type ReadLoadReport = (
  signal: AbortSignal,
) => ResultAsync<EngineReport, BackendFailure>;

interface LoadReportOptions {
  readonly readLoadReport: ReadLoadReport;
  readonly onReport: (report: EngineReport) => void;
  readonly log: EndpointLog;
}

const POLL_PERIOD_MS = 500;
const READ_TIMEOUT_MS = 2_000;

/** Polls until the signal aborts; logs the first of successive failures. */
export async function readLoadReports(
  options: LoadReportOptions,
  signal: AbortSignal,
): Promise<void> {
  let hasLastReadFailed = false;
  while (!signal.aborted) {
    const readSignal = AbortSignal.any([
      signal,
      AbortSignal.timeout(READ_TIMEOUT_MS),
    ]);
    const result = await options.readLoadReport(readSignal);
    if (signal.aborted) return;
    if (result.isOk()) {
      options.onReport(result.value);
    } else if (!hasLastReadFailed) {
      const { kind, detail } = result.error;
      options.log.warn({ kind, detail }, "reading the load report failed");
    }
    hasLastReadFailed = result.isErr();
    await waitFor(POLL_PERIOD_MS, signal);
  }
}
