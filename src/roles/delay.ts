/** Waits that end early when their owner stops. */

/** Resolves after the time, or as soon as the signal aborts. */
export function delay(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const end = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", end);
      resolve();
    };
    const timer = setTimeout(end, ms);
    signal?.addEventListener("abort", end, { once: true });
  });
}
