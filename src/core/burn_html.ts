/** Renders the burn report as one HTML page without external resources. */

import type {
  BurnReport,
  ObjectiveBurn,
  TopContributor,
} from "./burn_report.js";
import { formatDuration, formatPercent } from "./burn_text.js";

const CHART_WIDTH = 720;
const CHART_HEIGHT = 180;
const CHART_MARGIN = 36;

/** Minimum top of the rate axis, so that low rates don't fill the chart. */
const MIN_AXIS_RATE = 2;

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 48rem; padding: 0 1rem; color: #1c2430; background: #fff; }
table { border-collapse: collapse; margin: .5rem 0; }
th, td { text-align: left; padding: .15rem .9rem .15rem 0; font-variant-numeric: tabular-nums; }
.over { color: #b3261e; font-weight: 600; }
svg { width: 100%; height: auto; }
svg text { font: 11px system-ui, sans-serif; fill: currentColor; }
.axis { stroke: #8a94a3; stroke-width: 1; }
.budget { stroke: #b3261e; stroke-width: 1; stroke-dasharray: 4 3; }
.rate { fill: none; stroke: #1f6feb; stroke-width: 2; }
@media (prefers-color-scheme: dark) { body { color: #e4e8ee; background: #12161c; } .rate { stroke: #6ea8ff; } .budget { stroke: #ff8a80; } .over { color: #ff8a80; } }
`;

const HTML_ENTITIES: Record<string, string> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
  "'": "&#39;",
};

function formatHtmlText(text: string): string {
  return text.replace(
    /[&<>"']/g,
    (character) => HTML_ENTITIES[character] ?? "",
  );
}

/** Chart of the hourly burn rate; the dashed line marks a rate of 1. */
function renderChart(objective: ObjectiveBurn, report: BurnReport): string {
  const { hours, account, kind } = objective;
  const axisMaxRate =
    Math.max(MIN_AXIS_RATE, ...hours.map((hour) => hour.rate)) * 1.1;
  const durationMs = Math.max(1, report.toMs - report.fromMs);
  const toX = (atMs: number) => {
    const share = (atMs - report.fromMs) / durationMs;
    const clampedShare = Math.min(1, Math.max(0, share));
    return (
      CHART_MARGIN +
      clampedShare * (CHART_WIDTH - 2 * CHART_MARGIN)
    ).toFixed(1);
  };
  const toY = (rate: number) =>
    (
      CHART_HEIGHT -
      CHART_MARGIN -
      (rate / axisMaxRate) * (CHART_HEIGHT - 2 * CHART_MARGIN)
    ).toFixed(1);
  const points = hours.map(({ atMs, rate }) => `${toX(atMs)},${toY(rate)}`);
  const right = CHART_WIDTH - CHART_MARGIN;
  const title = formatHtmlText(`Hourly burn rate of ${account} ${kind}`);
  const rateLabels = [0, 1, axisMaxRate / 1.1].map(
    (rate) =>
      `<text x="${CHART_MARGIN - 6}" y="${toY(rate)}" text-anchor="end">${rate.toFixed(1)}</text>`,
  );
  const timeLabels = [report.fromMs, report.toMs].map((atMs, index) => {
    const text = new Date(atMs).toISOString().slice(0, 16);
    const anchor = index === 0 ? "start" : "end";
    return `<text x="${toX(atMs)}" y="${CHART_HEIGHT - 12}" text-anchor="${anchor}">${text}</text>`;
  });
  return [
    `<svg viewBox="0 0 ${CHART_WIDTH} ${CHART_HEIGHT}" role="img"><title>${title}</title>`,
    `<line class="axis" x1="${CHART_MARGIN}" x2="${right}" y1="${toY(0)}" y2="${toY(0)}"/>`,
    `<line class="budget" x1="${CHART_MARGIN}" x2="${right}" y1="${toY(1)}" y2="${toY(1)}"/>`,
    ...rateLabels,
    ...timeLabels,
    `<polyline class="rate" points="${points.join(" ")}"/>`,
    ...hours.map(
      ({ atMs, rate }) =>
        `<circle cx="${toX(atMs)}" cy="${toY(rate)}" r="2" fill="#1f6feb"><title>${new Date(atMs).toISOString()}: ${rate.toFixed(2)}</title></circle>`,
    ),
    "</svg>",
  ].join("\n");
}

function renderWindows(objective: ObjectiveBurn): string {
  const rows = objective.windows.map((window) => {
    const lengths = [window.longMs, window.shortMs].map(formatDuration);
    const cells = [window.longRate, window.shortRate, window.threshold];
    const classAttribute = window.isFiring ? ' class="over"' : "";
    return `<tr${classAttribute}><td>${lengths.join(" / ")}</td>${cells
      .map((rate) => `<td>${rate.toFixed(2)}</td>`)
      .join("")}</tr>`;
  });
  return `<table><tr><th>windows</th><th>long</th><th>short</th><th>alert at</th></tr>${rows.join("")}</table>`;
}

function renderContributors(
  title: string,
  contributors: readonly TopContributor[],
): string {
  if (contributors.length === 0) return "";
  const rows = contributors.map(
    ({ name, bad, total, share }) =>
      `<tr><td>${formatHtmlText(name)}</td><td>${bad} of ${total}</td><td>${formatPercent(share)}</td></tr>`,
  );
  return `<table><tr><th>${title}</th><th>bad</th><th>share</th></tr>${rows.join("")}</table>`;
}

function renderObjective(objective: ObjectiveBurn, report: BurnReport): string {
  const { account, kind, target, total, bad, budgetLeft } = objective;
  const classAttribute = budgetLeft < 0 ? ' class="over"' : "";
  return [
    `<h2>${formatHtmlText(account)}: ${kind}</h2>`,
    `<p>Target ${formatPercent(target)}, ${bad} bad of ${total}, <span${classAttribute}>budget left ${formatPercent(budgetLeft)}</span></p>`,
    renderChart(objective, report),
    renderWindows(objective),
    renderContributors("version", objective.versions),
    renderContributors("data centre", objective.dataCentres),
  ].join("\n");
}

export function renderBurnHtml(report: BurnReport): string {
  const from = new Date(report.fromMs).toISOString();
  const to = new Date(report.toMs).toISOString();
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    '<meta name="viewport" content="width=device-width, initial-scale=1">',
    `<title>Burn report ${to}</title><style>${STYLE}</style></head><body>`,
    `<h1>Burn report</h1><p>${from} to ${to}</p>`,
    report.isComplete ? "" : '<p class="over">Counts are missing.</p>',
    report.objectives.length === 0 ? "<p>No requests were counted.</p>" : "",
    ...report.objectives.map((objective) => renderObjective(objective, report)),
    "</body></html>\n",
  ].join("\n");
}
