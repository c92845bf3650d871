/**
 * Kills the processes of its parent when the parent ends, even by SIGKILL and
 * even if they are frozen. The parent writes `+PID` to this process's input
 * for each process that it starts and `-PID` when that has ended; the end of
 * the input means that the parent has ended.
 */

import { createInterface } from "node:readline";

const pids = new Set<number>();

for await (const line of createInterface({ input: process.stdin })) {
  const pid = Number(line.slice(1));
  if (line.startsWith("+")) pids.add(pid);
  else pids.delete(pid);
}
for (const pid of pids) {
  try {
    process.kill(pid, "SIGKILL");
  } catch {
    // The process has already ended.
  }
}
