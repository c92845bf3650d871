/** Calls that wait until a condition holds or their timeout has passed. */
export class Waiters {
  readonly #checks = new Set<() => void>();

  /** Makes every waiting call check its condition again. */
  wake(): void {
    for (const check of [...this.#checks]) check();
  }

  /** Resolves once `isDone` returns true, or after `timeoutMs`. */
  async waitUntil(isDone: () => boolean, timeoutMs: number): Promise<void> {
    if (isDone() || timeoutMs <= 0) return;
    await new Promise<void>((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#checks.delete(check);
        resolve();
      };
      const check = () => {
        if (isDone()) finish();
      };
      const timer = setTimeout(finish, timeoutMs);
      this.#checks.add(check);
    });
  }
}
