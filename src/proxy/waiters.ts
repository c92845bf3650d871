/** Calls that wait until something has come true, for a time at most. */
export class Waiters {
  readonly #waiting = new Set<() => void>();

  /** Lets each waiting call look again. */
  wake(): void {
    for (const look of [...this.#waiting]) look();
  }

  /** Settles once `isDone` is true, or after `waitMs`. */
  async waitUntil(isDone: () => boolean, waitMs: number): Promise<void> {
    if (isDone() || waitMs <= 0) return;
    await new Promise<void>((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        this.#waiting.delete(look);
        resolve();
      };
      const look = () => {
        if (isDone()) settle();
      };
      const timer = setTimeout(settle, waitMs);
      this.#waiting.add(look);
    });
  }
}
