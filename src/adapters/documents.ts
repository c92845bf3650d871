/**
 * Reads JSON-with-comments documents (settings, tickets) and checks them
 * against their schema. Each problem names line, key, value and expectation.
 */

import { Ajv, type ErrorObject, type ValidateFunction } from "ajv";
import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import {
  fleetStateSchema,
  type Settings,
  settingsSchema,
  type Ticket,
  ticketSchema,
} from "../schema/index.js";

export interface DocumentProblem {
  readonly line: number;
  /** Path such as listen.callerPort; empty for the document itself. */
  readonly key: string;
  readonly value: unknown;
  readonly expected: string;
}

export interface DocumentFailure {
  readonly kind: "invalid-document";
  readonly file: string;
  readonly problems: readonly DocumentProblem[];
}

const ajv = new Ajv({ allErrors: true, strict: false, verbose: true });
ajv.addSchema(fleetStateSchema);
const checkSettings = ajv.compile<Settings>(settingsSchema);
const checkTicket = ajv.compile<Ticket>(ticketSchema);

function getLine(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}

function parsePath(root: Node, pointer: string): (string | number)[] {
  const path: (string | number)[] = [];
  let node: Node | undefined = root;
  for (const raw of pointer.split("/").slice(1)) {
    const part = raw.replaceAll("~1", "/").replaceAll("~0", "~");
    path.push(node?.type === "array" ? Number(part) : part);
    node = findNodeAtLocation(root, path);
  }
  return path;
}

function describeExpectation(error: ErrorObject): string {
  const { keyword, params } = error;
  if (keyword === "required") return "a value; the key is missing";
  if (keyword === "additionalProperties") return "no such key";
  if (keyword === "enum") {
    return `one of ${(params.allowedValues as unknown[]).join(", ")}`;
  }
  return error.message ?? keyword;
}

function createProblem(
  text: string,
  root: Node,
  error: ErrorObject,
): DocumentProblem {
  const path = parsePath(root, error.instancePath);
  const extra = error.params.missingProperty ?? error.params.additionalProperty;
  const fullPath = extra === undefined ? path : [...path, String(extra)];
  const node =
    findNodeAtLocation(root, fullPath) ?? findNodeAtLocation(root, path);
  return {
    line: getLine(text, node?.offset ?? 0),
    key: fullPath.join("."),
    value:
      error.keyword === "required" ? undefined : node && getNodeValue(node),
    expected: describeExpectation(error),
  };
}

function createSyntaxProblem(text: string, error: ParseError): DocumentProblem {
  return {
    line: getLine(text, error.offset),
    key: "",
    value: text.slice(error.offset, error.offset + Math.max(error.length, 1)),
    expected: `valid JSON (${printParseErrorCode(error.error)})`,
  };
}

/** A key that stands twice would be dropped silently by a JSON parser. */
function listDuplicateKeys(text: string, node: Node): DocumentProblem[] {
  const children = node.children ?? [];
  const problems = children.flatMap((child) => listDuplicateKeys(text, child));
  if (node.type !== "object") return problems;
  const seen = new Set<string>();
  for (const property of children) {
    const keyNode = property.children?.[0];
    if (keyNode === undefined) continue;
    if (seen.has(keyNode.value)) {
      problems.push({
        line: getLine(text, keyNode.offset),
        key: keyNode.value,
        value: keyNode.value,
        expected: "each key once",
      });
    }
    seen.add(keyNode.value);
  }
  return problems;
}

function readDocument<T>(
  text: string,
  file: string,
  check: ValidateFunction<T>,
): Result<T, DocumentFailure> {
  const fail = (problems: DocumentProblem[]) =>
    err({ kind: "invalid-document" as const, file, problems });
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (root === undefined || errors.length > 0) {
    return fail(
      errors.length > 0
        ? errors.map((error) => createSyntaxProblem(text, error))
        : [{ line: 1, key: "", value: text, expected: "a JSON document" }],
    );
  }
  const duplicates = listDuplicateKeys(text, root);
  if (duplicates.length > 0) return fail(duplicates);
  const value: unknown = getNodeValue(root);
  if (check(value)) return ok(value);
  return fail(
    (check.errors ?? []).map((error) => createProblem(text, root, error)),
  );
}

/** Keys that a role needs; the schema covers what both roles need. */
function listMissingForRole(settings: Settings): string[] {
  if (settings.role === "entry") {
    const missing: string[] = [];
    if (settings.listen.callerPort === undefined) {
      missing.push("listen.callerPort");
    }
    if (settings.listen.operatorPort === undefined) {
      missing.push("listen.operatorPort");
    }
    if (settings.objectStore === undefined) missing.push("objectStore");
    if (settings.sessionKey === undefined) missing.push("sessionKey");
    return missing;
  }
  const hasOneBackEnd =
    (settings.engine === undefined) !== (settings.service === undefined);
  return hasOneBackEnd ? [] : ["engine or service"];
}

/** Checks the text of a settings file. */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, DocumentFailure> {
  return readDocument(text, file, checkSettings).andThen((settings) => {
    const missing = listMissingForRole(settings);
    if (missing.length === 0) return ok(settings);
    return err({
      kind: "invalid-document" as const,
      file,
      problems: missing.map((key) => ({
        line: 1,
        key,
        value: undefined,
        expected: `a value; role "${settings.role}" needs it`,
      })),
    });
  });
}

/** Checks the text of a ticket file or request body. */
export function parseTicket(
  text: string,
  file: string,
): Result<Ticket, DocumentFailure> {
  return readDocument(text, file, checkTicket);
}

/** One line per problem, for terminals and logs. */
export function formatDocumentFailure(failure: DocumentFailure): string {
  return failure.problems
    .map((problem) => {
      const value =
        problem.value === undefined ? "nothing" : JSON.stringify(problem.value);
      const key = problem.key === "" ? "document" : problem.key;
      return `${failure.file}:${problem.line}: ${key}: got ${value}, expected ${problem.expected}`;
    })
    .join("\n");
}
