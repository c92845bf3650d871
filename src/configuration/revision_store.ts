/** Reads and writes the head and the revisions of the fleet state. */

import { err, ok, type Result } from "neverthrow";
import type { ObjectStore, StoreFailure } from "../adapters/index.js";
import { createEmptyState, hashDocument } from "../core/index.js";
import type { FleetState, Ticket } from "../schema/index.js";

export const HEAD_KEY = "config/head";
const REVISIONS_PREFIX = "config/revisions/";

/** Value of the head: names the revision that is in force. */
export interface Head {
  readonly revision: number;
  readonly key: string;
  readonly sha: string;
}

/** What made a revision. */
export type RevisionCause =
  | { readonly ticket: Ticket }
  | { readonly hold: { readonly version: string; readonly reason: string } };

/** Value of a revision object. */
export interface RevisionDocument {
  readonly state: FleetState;
  readonly cause: RevisionCause;
  /** Sha of the revision it follows; empty for the first. */
  readonly previousSha: string;
}

/** The head with the store's version of its key, 0 before the first ticket. */
export interface HeadPosition {
  readonly head?: Head;
  readonly version: number;
}

export interface CurrentRevision extends HeadPosition {
  readonly state: FleetState;
}

export type RevisionFailure =
  | StoreFailure
  /** The head names a revision whose object is absent, damaged or malformed. */
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
): Result<HeadPosition, RevisionFailure> {
  if (object === undefined) return ok({ version: 0 });
  if (!isHead(object.value)) {
    return err({ kind: "unreadable-revision", key: HEAD_KEY });
  }
  return ok({ head: object.value, version: object.version });
}

/** Head that names the document. */
export function createHead(document: RevisionDocument): Head {
  const sha = hashDocument(document);
  const { revision } = document.state;
  return { revision, sha, key: `${REVISIONS_PREFIX}${revision}-${sha}` };
}

/** Reads the revision that the head names; a damaged one is a failure. */
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
export async function readCurrent(
  store: ObjectStore,
  signal: AbortSignal,
): Promise<Result<CurrentRevision, RevisionFailure>> {
  const read = await store.read(HEAD_KEY, signal);
  if (read.isErr()) return err(read.error);
  const position = parseHead(read.value);
  if (position.isErr()) return err(position.error);
  const { head } = position.value;
  if (head === undefined) {
    return ok({ ...position.value, state: createEmptyState() });
  }
  const state = await readRevision(store, head, signal);
  return state.map((value) => ({ ...position.value, state: value }));
}
