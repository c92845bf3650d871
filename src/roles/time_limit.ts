/**
 * Bounds a call in time and cleans up after it. `AbortSignal.any` would keep
 * an entry per call on the process's long-lived signal.
 */
export async function callWithin<T>(
  limitMs: number,
  signal: AbortSignal,
  call: (signal: AbortSignal) => PromiseLike<T>,
): Promise<T> {
  const controller = new AbortController();
  const abort = () => controller.abort(signal.reason);
  if (signal.aborted) abort();
  signal.addEventListener("abort", abort, { once: true });
  const timer = setTimeout(
    () => controller.abort(new Error(`No reply within ${limitMs} ms`)),
    limitMs,
  );
  try {
    return await call(controller.signal);
  } finally {
    clearTimeout(timer);
    signal.removeEventListener("abort", abort);
  }
}
