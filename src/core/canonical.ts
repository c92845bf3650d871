/** Canonical JSON and hashes of documents, and rendezvous hashing. */

import { createHash } from "node:crypto";

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (value === null || typeof value !== "object") return value;
  const entries = Object.entries(value)
    .filter(([, item]) => item !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, item]): [string, unknown] => [key, sortKeys(item)]);
  return Object.fromEntries(entries);
}

/** JSON with sorted keys, so equal documents give equal text. */
export function serializeCanonical(value: unknown): string {
  return JSON.stringify(sortKeys(value));
}

export function hashSha256(data: string | Uint8Array): string {
  return createHash("sha256").update(data).digest("hex");
}

/** The text itself, or its hash if it is longer than `maxLength`. */
export function hashIfLong(text: string, maxLength: number): string {
  return text.length > maxLength ? hashSha256(text) : text;
}

/** Maps texts uniformly to [0, 1); equal texts give equal numbers. */
export function hashToShare(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE() / 2 ** 32;
}

/** Hash of a document, independent of the order of its keys. */
export function hashDocument(value: unknown): string {
  return hashSha256(serializeCanonical(value));
}

/**
 * Ranks names by their rendezvous hash for a key: adding or removing a name
 * does not change the order of the others.
 */
export function sortByRendezvous(
  key: string,
  names: readonly string[],
): string[] {
  const scored = names.map((name) => ({
    name,
    score: hashSha256(JSON.stringify([key, name])),
  }));
  scored.sort((a, b) =>
    a.score === b.score
      ? a.name < b.name
        ? -1
        : 1
      : a.score < b.score
        ? 1
        : -1,
  );
  return scored.map((item) => item.name);
}
