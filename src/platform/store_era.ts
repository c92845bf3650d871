/**
 * Era of the store. It rises when the store comes back from a copy: revisions of
 * different eras can't be compared, and answers of an earlier era are outdated.
 */

export class StoreEra {
  #current: number | undefined;
  readonly #onRise: (era: number) => void;

  /** `onRise` is not called for the first era that is seen. */
  constructor(onRise: (era: number) => void) {
    this.#onRise = onRise;
  }

  /** 0 until an answer names an era. */
  get current(): number {
    return this.#current ?? 0;
  }

  /** Returns false for an era that has ended. */
  observe(era: number): boolean {
    const before = this.#current;
    if (before !== undefined && era < before) return false;
    this.#current = era;
    if (before !== undefined && era > before) this.#onRise(era);
    return true;
  }
}

/** Undefined when the header is missing or damaged. */
export function parseEra(
  text: string | string[] | undefined,
): number | undefined {
  return typeof text === "string" && /^\d{1,15}$/.test(text.trim())
    ? Number(text)
    : undefined;
}
