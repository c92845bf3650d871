/** Checks the daemons' logs and unplanned exits. */

import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { type Findings, isProperty, type Property } from "./findings.js";
import type { Journal, ProcessLifetime } from "./journal.js";

/** How an uncaught failed invariant or its log line names the property. */
const INVARIANT_LINE =
  /InvariantError: (\w+): |"?gate fault"?.* property=(\w+)|property=(\w+) /;
const MAX_LINE_LENGTH = 400;

function findProperty(line: string): Property | undefined {
  const match = INVARIANT_LINE.exec(line);
  const name = match?.slice(1).find((group) => group !== undefined);
  if (name === undefined) return undefined;
  return isProperty(name) ? name : "lostRequest";
}

export async function checkLog(
  folder: string,
  member: string,
  findings: Findings,
): Promise<void> {
  const text = await readFile(join(folder, `${member}.log`), "utf8");
  for (const line of text.split("\n")) {
    const property = findProperty(line);
    if (property === undefined) continue;
    findings.addViolation(
      property,
      `${member}: ${line.slice(0, MAX_LINE_LENGTH)}`,
    );
  }
}

function isUnplannedExit(lifetime: ProcessLifetime): boolean {
  if (lifetime.endedMs === undefined || lifetime.killedMs !== undefined)
    return false;
  return lifetime.stopRequestedMs === undefined;
}

/** A process that ends by itself leaves its callers without an answer. */
export function checkExits(journal: Journal, findings: Findings): void {
  for (const lifetime of journal.lives) {
    if (!isUnplannedExit(lifetime)) continue;
    findings.addViolation(
      "lostRequest",
      `${lifetime.member} ended by itself with ${JSON.stringify(lifetime.status)} at ${lifetime.endedMs}`,
    );
  }
}
