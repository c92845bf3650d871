/** Sums the cost of receipts by client account, request class and version. */

import type { Receipt } from "../schema/index.js";

/** Sums of the receipts of one account, class or version. */
export interface CostRow {
  readonly name: string;
  /** Requests; one with several steps counts once for each version it used. */
  requests: number;
  promptTokens: number;
  outputTokens: number;
  cost: number;
}

export interface CostReport {
  readonly fromMs: number;
  readonly toMs: number;
  /** False when the period has more objects than one report may read. */
  readonly isComplete: boolean;
  readonly total: CostRow;
  /** Each list is sorted by descending cost. */
  readonly accounts: CostRow[];
  readonly classes: CostRow[];
  readonly versions: CostRow[];
}

/** Adds up receipts of a period, one at a time. */
export class CostTotals {
  readonly #fromMs: number;
  readonly #toMs: number;
  readonly #total = createRow("total");
  readonly #accounts = new Map<string, CostRow>();
  readonly #classes = new Map<string, CostRow>();
  readonly #versions = new Map<string, CostRow>();

  constructor(fromMs: number, toMs: number) {
    this.#fromMs = fromMs;
    this.#toMs = toMs;
  }

  /**
   * Adds a receipt unless it is from before the period. One dated after the
   * period counts, because the clock of its host may be ahead.
   */
  add(receipt: Receipt): void {
    if (receipt.atMs < this.#fromMs) return;
    const amounts = { ...sumSteps(receipt.steps), cost: receipt.cost };
    addAmounts(this.#total, amounts);
    addAmounts(getRow(this.#accounts, receipt.account), amounts);
    addAmounts(getRow(this.#classes, receipt.requestClass), amounts);
    const names = new Set(receipt.steps.map(getStepName));
    for (const name of names) {
      const steps = receipt.steps.filter((step) => getStepName(step) === name);
      addAmounts(getRow(this.#versions, name), sumSteps(steps));
    }
  }

  createReport(isComplete: boolean): CostReport {
    return {
      fromMs: this.#fromMs,
      toMs: this.#toMs,
      isComplete,
      total: { ...this.#total },
      accounts: listByCost(this.#accounts),
      classes: listByCost(this.#classes),
      versions: listByCost(this.#versions),
    };
  }
}

type Amounts = Pick<CostRow, "promptTokens" | "outputTokens" | "cost">;

function createRow(name: string): CostRow {
  return { name, requests: 0, promptTokens: 0, outputTokens: 0, cost: 0 };
}

function getRow(rows: Map<string, CostRow>, name: string): CostRow {
  const row = rows.get(name) ?? createRow(name);
  rows.set(name, row);
  return row;
}

function addAmounts(row: CostRow, amounts: Amounts): void {
  row.requests += 1;
  row.promptTokens += amounts.promptTokens;
  row.outputTokens += amounts.outputTokens;
  row.cost += amounts.cost;
}

function getStepName(step: Receipt["steps"][number]): string {
  return step.version ?? step.service ?? step.endpoint;
}

function sumSteps(steps: Receipt["steps"]): Amounts {
  const sum = { promptTokens: 0, outputTokens: 0, cost: 0 };
  for (const step of steps) {
    sum.promptTokens += step.promptTokens;
    sum.outputTokens += step.outputTokens;
    sum.cost += step.cost;
  }
  return sum;
}

function listByCost(rows: Map<string, CostRow>): CostRow[] {
  return [...rows.values()].sort(
    (a, b) => b.cost - a.cost || (a.name < b.name ? -1 : 1),
  );
}

const COLUMN_WIDTHS = [28, 10, 14, 14, 14];

function formatCells(cells: string[]): string {
  return cells
    .map((cell, index) => {
      const width = COLUMN_WIDTHS[index] ?? 0;
      return index === 0 ? cell.padEnd(width) : cell.padStart(width);
    })
    .join(" ")
    .trimEnd();
}

function formatRow(row: CostRow): string {
  const { name, requests, promptTokens, outputTokens, cost } = row;
  const counts = [requests, promptTokens, outputTokens].map(String);
  return formatCells([name, ...counts, cost.toFixed(4)]);
}

/** Renders the report as tables for a terminal. */
export function formatCostReport(report: CostReport): string {
  const from = new Date(report.fromMs).toISOString();
  const to = new Date(report.toMs).toISOString();
  const headings = ["requests", "prompt tokens", "output tokens", "cost"];
  const createTable = (title: string, rows: CostRow[]) => [
    "",
    formatCells([title, ...headings]),
    ...rows.map(formatRow),
  ];
  const lines = [
    `Cost from ${from} to ${to}`,
    ...(report.isComplete ? [] : ["The report is partial: too many objects"]),
    ...createTable("account", report.accounts),
    ...createTable("class", report.classes),
    ...createTable("version", report.versions),
    "",
    formatRow(report.total),
  ];
  return `${lines.join("\n")}\n`;
}
