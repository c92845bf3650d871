/** Timeouts and delays that also end when the caller's signal aborts. */

/**
 * Runs an operation with a signal that aborts with the caller's or after the
 * time. The listener is removed at the end: AbortSignal.any would keep an entry
 * for each call on a signal that lives as long as the process.
 */
export async function runWithTimeout<T>(
  options: { signal: AbortSignal; timeoutMs: number },
  run: (signal: AbortSignal) => PromiseLike<T>,
): Promise<T> {
  const { signal, timeoutMs } = options;
  const controller = new AbortController();
  const abort = () => controller.abort();
  if (signal.aborted) abort();
  signal.addEventListener("abort", abort, { once: true });
  const timer = setTimeout(abort, timeoutMs);
  try {
    return await run(controller.signal);
  } finally {
    clearTimeout(timer);
    signal.removeEventListener("abort", abort);
  }
}

/** Resolves after the time or on abort, whichever comes first. */
export function waitFor(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const end = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", end);
      resolve();
    };
    const timer = setTimeout(end, ms);
    signal?.addEventListener("abort", end, { once: true });
  });
}

/** Ends the process on a broken invariant, even if no caller waits for it. */
export function failProcess(error: unknown): void {
  setImmediate(() => {
    throw error;
  });
}
