/** Violations by property, and how many cases each check had to judge. */

export const PROPERTIES = [
  "notAllowed",
  "withdrawnServed",
  "sessionMoved",
  "billedTwice",
  "unbilled",
  "coldOverload",
  "drainedDataCentreServed",
  "wrongOrPartialAnswer",
  "falseNotRun",
  "ranTwice",
  "leavingEndpointServed",
  "cutByPlannedStop",
  "ticketReverted",
  "ticketLate",
  "lostRequest",
] as const;

export type Property = (typeof PROPERTIES)[number];

export function isProperty(name: string): name is Property {
  return (PROPERTIES as readonly string[]).includes(name);
}

export class Findings {
  readonly #cases = new Map<Property, number>();
  readonly #violations = new Map<Property, string[]>();

  /** Counts a case in which a fault of the product would have shown. */
  addCase(property: Property, count = 1): void {
    this.#cases.set(property, (this.#cases.get(property) ?? 0) + count);
  }

  addViolation(property: Property, detail: string): void {
    const list = this.#violations.get(property) ?? [];
    list.push(detail);
    this.#violations.set(property, list);
  }

  /** Judges one case. */
  check(property: Property, isGood: boolean, describe: () => string): void {
    this.addCase(property);
    if (!isGood) this.addViolation(property, describe());
  }

  countCases(): Record<Property, number> {
    return this.#count((property) => this.#cases.get(property) ?? 0);
  }

  countViolations(): Record<Property, number> {
    return this.#count((property) => this.listViolations(property).length);
  }

  listViolations(property: Property): readonly string[] {
    return this.#violations.get(property) ?? [];
  }

  /** Properties that had no case; a violation is a case by itself. */
  listNotExercised(): Property[] {
    return PROPERTIES.filter(
      (property) =>
        (this.#cases.get(property) ?? 0) === 0 &&
        !this.#violations.has(property),
    );
  }

  get total(): number {
    return [...this.#violations.values()].flat().length;
  }

  #count(get: (property: Property) => number): Record<Property, number> {
    return Object.fromEntries(
      PROPERTIES.map((property) => [property, get(property)]),
    ) as Record<Property, number>;
  }
}
