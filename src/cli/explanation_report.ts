/**
 * The explanation of a request's routing as text tables. It may come from an
 * entry of another release, so a field that is missing or of another type is
 * shown as "-".
 */

import {
  type Fields,
  getFields,
  getList,
  getNumber,
  getText,
  isFields,
} from "../platform/fields.js";
import { formatTable, type TableRow } from "./format_table.js";

const SUMMARY_HEADER = [
  "route",
  "service",
  "account",
  "rank",
  "model",
  "allowed ms",
  "config",
  "age ms",
];
const CANDIDATE_HEADER = [
  "endpoint",
  "data centre",
  "version",
  "own",
  "others",
  "shared work",
  "slots",
  "expected ms",
  "cached tokens",
  "state",
  "usable",
];
const STATES = {
  isLeaving: "leaving",
  isClosed: "closed",
  isPaused: "paused",
  isCold: "cold",
} as const;

export function isExplanation(value: unknown): value is Fields {
  return isFields(value) && Array.isArray(value.candidates);
}

export function formatExplanation(explanation: Fields): string {
  const summary = formatTable(SUMMARY_HEADER, [
    [
      formatName(explanation, "route"),
      formatName(explanation, "service"),
      formatName(explanation, "account"),
      formatCount(explanation, "rank"),
      formatName(explanation, "model"),
      formatCount(explanation, "allowedMs"),
      formatCount(explanation, "config"),
      formatCount(explanation, "configAgeMs"),
    ],
  ]);
  const candidates = getList(explanation, "candidates").filter(isFields);
  const table = formatTable(
    CANDIDATE_HEADER,
    candidates.map(createCandidateRow),
  );
  return [
    summary,
    formatOutcome(explanation),
    ...(candidates.length > 0 ? [table] : []),
  ].join("\n\n");
}

function formatOutcome(explanation: Fields): string {
  if (isFields(explanation.refusal)) {
    const { refusal } = explanation;
    const code = formatName(refusal, "code");
    const status = formatCount(refusal, "status");
    return `refused at once: ${code} (${status}), ${formatName(refusal, "detail")}`;
  }
  const choice = getFields(explanation, "choice");
  const endpoint = formatName(choice, "endpoint");
  const expectedMs = formatCount(choice, "expectedMs");
  const count = formatCount(choice, "candidateCount");
  return `chosen: ${endpoint}, answer expected in ${expectedMs} ms, out of ${count} usable`;
}

function createCandidateRow(candidate: Fields): TableRow {
  const states: string[] = Object.entries(STATES)
    .filter(([name]) => candidate[name] === true)
    .map(([, label]) => label);
  const limit = getNumber(candidate, "limitPerSecond");
  if (limit !== undefined) states.push(`limit ${limit}/s`);
  return [
    formatName(candidate, "id"),
    formatName(candidate, "dataCentre"),
    formatName(candidate, "version"),
    formatCount(getFields(candidate, "own"), "running"),
    formatCount(candidate, "othersRunning"),
    formatCount(getFields(candidate, "shared"), "runningWork"),
    formatCount(candidate, "slots"),
    formatCount(candidate, "expectedMs"),
    formatCount(candidate, "cachedTokens"),
    states.join(",") || "-",
    candidate.isUsable === true ? "yes" : formatName(candidate, "reason"),
  ];
}

/** Control characters, which could change the terminal, are replaced. */
function formatName(fields: Fields, name: string): string {
  return (getText(fields, name) ?? "-").replaceAll(/\p{Cc}/gu, "?");
}

/** Rounded to a tenth. */
function formatCount(fields: Fields, name: string): string | number {
  const value = getNumber(fields, name);
  return value === undefined ? "-" : Math.round(value * 10) / 10;
}
