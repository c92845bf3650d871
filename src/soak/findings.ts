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

export class Findings<Name extends string = Property> {
  readonly #names: readonly Name[];
  readonly #cases = new Map<Name, number>();
  readonly #violations = new Map<Name, string[]>();

  constructor(names: readonly Name[]) {
    this.#names = names;
  }

  /** Counts a case in which a fault of the product would have shown. */
  addCase(property: Name, count = 1): void {
    this.#cases.set(property, (this.#cases.get(property) ?? 0) + count);
  }

  addViolation(property: Name, detail: string): void {
    const list = this.#violations.get(property) ?? [];
    list.push(detail);
    this.#violations.set(property, list);
  }

  /** Counts a case, and a violation unless the case is good. */
  check(property: Name, isGood: boolean, describe: () => string): void {
    this.addCase(property);
    if (!isGood) this.addViolation(property, describe());
  }

  countCases(): Record<Name, number> {
    return this.#count((property) => this.#cases.get(property) ?? 0);
  }

  countViolations(): Record<Name, number> {
    return this.#count((property) => this.listViolations(property).length);
  }

  listViolations(property: Name): readonly string[] {
    return this.#violations.get(property) ?? [];
  }

  /** Properties that had no case; a violation is a case by itself. */
  listNotExercised(): Name[] {
    return this.#names.filter(
      (property) =>
        (this.#cases.get(property) ?? 0) === 0 &&
        !this.#violations.has(property),
    );
  }

  get violationCount(): number {
    return [...this.#violations.values()].flat().length;
  }

  #count(getCount: (property: Name) => number): Record<Name, number> {
    return Object.fromEntries(
      this.#names.map((property) => [property, getCount(property)]),
    ) as Record<Name, number>;
  }
}
