/** Renders the burn report as tables for a terminal. */

import type {
  BurnReport,
  ObjectiveBurn,
  TopContributor,
} from "./burn_report.js";

const MINUTE_MS = 60_000;
const HOUR_MINUTES = 60;
const DAY_MINUTES = 24 * HOUR_MINUTES;

/** @internal */
export function formatDuration(durationMs: number): string {
  const minutes = Math.round(durationMs / MINUTE_MS);
  if (minutes >= DAY_MINUTES && minutes % DAY_MINUTES === 0) {
    return `${minutes / DAY_MINUTES} d`;
  }
  return minutes % HOUR_MINUTES === 0
    ? `${minutes / HOUR_MINUTES} h`
    : `${minutes} min`;
}

/** @internal */
export function formatPercent(share: number): string {
  return `${(share * 100).toFixed(share > 0.99 && share < 1 ? 3 : 1)}%`;
}

function formatContributors(
  title: string,
  contributors: readonly TopContributor[],
): string[] {
  if (contributors.length === 0) return [];
  const parts = contributors.map(
    ({ name, bad, total, share }) =>
      `${name} ${formatPercent(share)} (${bad} of ${total})`,
  );
  return [`  ${title}: ${parts.join(", ")}`];
}

function formatObjective(objective: ObjectiveBurn): string[] {
  const { account, kind, target, total, bad, budgetLeft } = objective;
  const windows = objective.windows.map((window) => {
    const lengths = [window.longMs, window.shortMs].map(formatDuration);
    const rates = [window.longRate, window.shortRate].map((rate) =>
      rate.toFixed(2),
    );
    const alert = window.isFiring ? `  OVER ${window.threshold}` : "";
    return `  ${lengths.join("/").padEnd(14)} ${rates.join(" / ")}${alert}`;
  });
  return [
    "",
    `${account} ${kind}: target ${formatPercent(target)}, ` +
      `${bad} bad of ${total}, budget left ${formatPercent(budgetLeft)}`,
    ...windows,
    ...formatContributors("versions", objective.versions),
    ...formatContributors("data centres", objective.dataCentres),
  ];
}

export function formatBurnReport(report: BurnReport): string {
  const from = new Date(report.fromMs).toISOString();
  const to = new Date(report.toMs).toISOString();
  const lines = [
    `Burn from ${from} to ${to}`,
    ...(report.isComplete ? [] : ["The report is partial: counts are missing"]),
    ...(report.objectives.length === 0 ? ["No requests were counted"] : []),
    ...report.objectives.flatMap(formatObjective),
  ];
  return `${lines.join("\n")}\n`;
}
