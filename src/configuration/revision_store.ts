/**
 * Formats and reads of the fleet state in the object store: immutable revision
 * objects, and the head, which names the current one.
 */

import { err, ok, type Result } from "neverthrow";
import type { ObjectStore, StoreFailure } from "../adapters/index.js";
import { createEmptyState, hashDocument } from "../core/index.js";
import type { FleetState, Ticket } from "../schema/index.js";

export const HEAD_KEY = "config/head";
const REVISIONS_PREFIX = "config/revisions/";

/** Value of the head object; names the revision that is in force. */
export interface Head {
  readonly revision: number;
  readonly key: string;
  readonly sha: string;
}

/** The change that led to a revision. */
export type RevisionCause =
  | { readonly ticket: Ticket }
  | { readonly hold: { readonly version: string; readonly reason: string } };

/** Value of a revision object. */
export interface RevisionDocument {
  readonly state: FleetState;
  readonly cause: RevisionCause;
  /** Hash of the previous revision's document; empty for the first. */
  readonly previousSha: string;
}

/** The head and the store's version of it, which is 0 before any ticket. */
export interface VersionedHead {
  readonly head?: Head;
  readonly version: number;
}

export interface CurrentRevision extends VersionedHead {
  readonly state: FleetState;
}

export type RevisionFailure =
  | StoreFailure
  /** The head is malformed, or its revision object is absent or damaged. */
  | { readonly kind: "unreadable-revision"; readonly key: string };

function isHead(value: unknown): value is Head {
  if (value === null || typeof value !== "object") return false;
  const head = value as Partial<Head>;
  return (
    Number.isSafeInteger(head.revision) &&
    typeof head.key === "string" &&
    typeof head.sha === "string"
  );
}

export function parseHead(
  object: { version: number; value: unknown } | undefined,
): Result<VersionedHead, RevisionFailure> {
  if (object === undefined) return ok({ version: 0 });
  if (!isHead(object.value)) {
    return err({ kind: "unreadable-revision", key: HEAD_KEY });
  }
  return ok({ head: object.value, version: object.version });
}

/** Creates the head that names the document. */
export function createHead(document: RevisionDocument): Head {
  const sha = hashDocument(document);
  const { revision } = document.state;
  return { revision, sha, key: `${REVISIONS_PREFIX}${revision}-${sha}` };
}

/** Reads the revision that the head names and checks its hash. */
export async function readRevision(
  store: ObjectStore,
  head: Head,
  signal: AbortSignal,
): Promise<Result<FleetState, RevisionFailure>> {
  const read = await store.read(head.key, signal);
  if (read.isErr()) return err(read.error);
  const document = read.value?.value as RevisionDocument | undefined;
  if (
    document === undefined ||
    hashDocument(document) !== head.sha ||
    document.state.revision !== head.revision
  ) {
    return err({ kind: "unreadable-revision", key: head.key });
  }
  return ok(document.state);
}

/** Reads the head and the revision it names. */
export async function readCurrentRevision(
  store: ObjectStore,
  signal: AbortSignal,
): Promise<Result<CurrentRevision, RevisionFailure>> {
  const read = await store.read(HEAD_KEY, signal);
  if (read.isErr()) return err(read.error);
  const versionedHead = parseHead(read.value);
  if (versionedHead.isErr()) return err(versionedHead.error);
  const { head } = versionedHead.value;
  if (head === undefined) {
    return ok({ ...versionedHead.value, state: createEmptyState() });
  }
  const state = await readRevision(store, head, signal);
  return state.map((value) => ({ ...versionedHead.value, state: value }));
}
