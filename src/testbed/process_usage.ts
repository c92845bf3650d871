/** Processor time and memory of a process, as the kernel counts them. */

import { readFileSync } from "node:fs";

/** USER_HZ of Linux, the unit of the times in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;
const KILOBYTES_PER_MEGABYTE = 1_024;

export function readCpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  // utime and stime, the 14th and 15th fields of the whole line.
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

export function readResidentMegabytes(pid: number | undefined): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kilobytes = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  return Math.round(kilobytes / KILOBYTES_PER_MEGABYTE);
}
