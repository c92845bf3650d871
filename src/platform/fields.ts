/** Gets typed fields of parsed documents whose shape is unknown. */

export type Fields = Readonly<Record<string, unknown>>;

export function isFields(value: unknown): value is Fields {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Undefined also if the text is empty. */
export function getText(fields: Fields, name: string): string | undefined {
  const value = fields[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}

export function getNumber(fields: Fields, name: string): number | undefined {
  const value = fields[name];
  return typeof value === "number" && Number.isFinite(value)
    ? value
    : undefined;
}

/** A whole number from 0 that is exact. */
export function getCount(fields: Fields, name: string): number | undefined {
  const value = getNumber(fields, name);
  return Number.isSafeInteger(value) && value !== undefined && value >= 0
    ? value
    : undefined;
}

export function getList(fields: Fields, name: string): readonly unknown[] {
  const value = fields[name];
  return Array.isArray(value) ? value : [];
}

/** Items that are not texts are left out. */
export function getTexts(fields: Fields, name: string): string[] {
  return getList(fields, name).filter(
    (item): item is string => typeof item === "string",
  );
}

export function getFields(fields: Fields, name: string): Fields {
  const value = fields[name];
  return isFields(value) ? value : {};
}

/** True when arrays and objects are nested in at most so many levels. */
export function isNestedWithin(value: unknown, maxLevels: number): boolean {
  if (typeof value !== "object" || value === null) return true;
  if (maxLevels === 0) return false;
  return Object.values(value).every((item) =>
    isNestedWithin(item, maxLevels - 1),
  );
}
