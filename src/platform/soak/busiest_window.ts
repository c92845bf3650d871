/** Most of the times that fall into one window of the given length. */
export function countInBusiestWindow(
  timesMs: readonly number[],
  windowMs: number,
): number {
  const sorted = [...timesMs].sort((a, b) => a - b);
  let most = 0;
  let start = 0;
  for (const [end, timeMs] of sorted.entries()) {
    while (timeMs - (sorted[start] ?? 0) >= windowMs) start++;
    most = Math.max(most, end - start + 1);
  }
  return most;
}
