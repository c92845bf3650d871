/** The status report of an entry, and its table. */

import type { EndpointStatus } from "../schema/index.js";
import { formatTable } from "./table.js";

export interface StatusReport {
  readonly entry: string;
  readonly dataCentre: string;
  readonly revision: number;
  /** Time since the revision was last confirmed; null before the first time. */
  readonly confirmationAgeMs: number | null;
  readonly watcher: boolean;
  readonly openRequests: number;
  readonly openReceipts: number;
  readonly holds: readonly string[];
  readonly endpoints: readonly EndpointStatus[];
}

function describeEndpoint(status: EndpointStatus): string {
  if (status.leaving) return "leaving";
  return status.cold ? "cold" : "ready";
}

export function formatStatus(report: StatusReport): string {
  const summary = formatTable(
    ["entry", "data centre", "revision", "age ms", "open", "receipts", "holds"],
    [
      [
        report.entry,
        report.dataCentre,
        report.revision,
        report.confirmationAgeMs ?? "-",
        report.openRequests,
        report.openReceipts,
        report.holds.join(",") || "-",
      ],
    ],
  );
  const endpoints = formatTable(
    [
      "endpoint",
      "data centre",
      "state",
      "running",
      "limit",
      "queued",
      "revision",
      "serves",
    ],
    report.endpoints.map((status) => [
      status.endpoint,
      status.dataCentre,
      describeEndpoint(status),
      status.inFlight,
      status.limit,
      status.queued,
      status.revision,
      [...status.versions, ...status.services].join(","),
    ]),
  );
  return `${summary}\n\n${endpoints}`;
}
