/** The status report of an entry, and its form as text tables. */

import type { EndpointStatus } from "../schema/index.js";
import { formatTable } from "./format_table.js";

export interface StatusReport {
  readonly entry: string;
  readonly dataCentre: string;
  readonly revision: number;
  /** Time since the revision was last confirmed; null before the first one. */
  readonly confirmationAgeMs: number | null;
  /** Whether the entry watches the object store for new revisions. */
  readonly watcher: boolean;
  readonly openRequests: number;
  /** Receipts that are not yet written to the object store. */
  readonly openReceipts: number;
  /** Versions on hold. */
  readonly holds: readonly string[];
  readonly endpoints: readonly EndpointStatus[];
}

function describeEndpointState(status: EndpointStatus): string {
  if (status.leaving) return "leaving";
  return status.cold ? "cold" : "ready";
}

export function formatStatusReport(report: StatusReport): string {
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
      describeEndpointState(status),
      status.inFlight,
      status.limit,
      status.queued,
      status.revision,
      [...status.versions, ...status.services].join(","),
    ]),
  );
  return `${summary}\n\n${endpoints}`;
}
