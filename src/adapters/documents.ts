/**
 * Parses JSON-with-comments documents (settings, tickets) and validates them
 * against their schema. Each problem has the line, the key, its value and what
 * was expected.
 */

import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
// Imported file by file: the command-line tool loads this module and should
// not load gRPC through an index.
import {
  createDocumentCheck,
  type DocumentCheck,
  type DocumentFault,
} from "../core/document_check.js";
import { checkTicketDocument } from "../core/ticket_check.js";
import type { Settings, Ticket } from "../schema/documents.js";
import { settingsSchema } from "../schema/schemas.js";

export interface DocumentProblem {
  readonly line: number;
  /** Path such as listen.callerPort; empty for the document itself. */
  readonly key: string;
  readonly value: unknown;
  readonly expected: string;
}

interface KeyFault extends DocumentFault {
  readonly offset: number;
}

export interface DocumentFailure {
  readonly kind: "invalid-document";
  readonly file: string;
  readonly problems: readonly DocumentProblem[];
}

/** Bounds size and cost of the result for a text with thousands of errors. */
const MAX_PROBLEMS = 20;
const MAX_VALUE_CHARS = 200;

const checkSettings = createDocumentCheck<Settings>(settingsSchema);

function getLineNumber(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}

/** Finds the key's node, or the nearest one around a missing key. */
function findNearestNode(root: Node, path: readonly string[]): Node {
  let node = root;
  for (const part of path) {
    const key = node.type === "array" ? Number(part) : part;
    const child = findNodeAtLocation(node, [key]);
    if (child === undefined) return node;
    node = child;
  }
  return node;
}

function createProblem(
  text: string,
  root: Node,
  fault: DocumentFault,
): DocumentProblem {
  return {
    line: getLineNumber(text, findNearestNode(root, fault.path).offset),
    key: fault.path.join("."),
    value: fault.value,
    expected: fault.expected,
  };
}

function createSyntaxProblem(text: string, error: ParseError): DocumentProblem {
  return {
    line: getLineNumber(text, error.offset),
    key: "",
    value: text.slice(error.offset, error.offset + Math.max(error.length, 1)),
    expected: `valid JSON (${printParseErrorCode(error.error)})`,
  };
}

/**
 * Lists repeated keys, which the parser would drop silently, and `__proto__`,
 * which would set the prototype instead of a property.
 */
function listKeyFaults(node: Node, path: readonly string[]): KeyFault[] {
  const children = node.children ?? [];
  if (node.type === "array") {
    return children.flatMap((child, index) =>
      listKeyFaults(child, [...path, String(index)]),
    );
  }
  const seen = new Set<string>();
  return children.flatMap((property) => {
    const [keyNode, valueNode] = property.children ?? [];
    if (keyNode === undefined) return [];
    const key: string = keyNode.value;
    const keyPath = [...path, key];
    const faults = valueNode ? listKeyFaults(valueNode, keyPath) : [];
    const fault = { path: keyPath, value: key, offset: keyNode.offset };
    if (key === "__proto__") {
      faults.push({ ...fault, expected: "no such key" });
    } else if (seen.has(key)) {
      faults.push({ ...fault, expected: "each key once" });
    }
    seen.add(key);
    return faults;
  });
}

interface ParsedDocument {
  readonly root?: Node;
  readonly problems: DocumentProblem[];
}

function parseDocument(text: string): ParsedDocument {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || root === undefined) {
    const problems = errors
      .slice(0, MAX_PROBLEMS)
      .map((error) => createSyntaxProblem(text, error));
    const expected = "a JSON document";
    const emptyDocument = { line: 1, key: "", value: text, expected };
    return { problems: problems.length > 0 ? problems : [emptyDocument] };
  }
  const problems = listKeyFaults(root, [])
    .slice(0, MAX_PROBLEMS)
    .map(({ path, offset, value, expected }) => {
      const line = getLineNumber(text, offset);
      return { line, key: path.join("."), value, expected };
    });
  return { root, problems };
}

function parseDocumentSafely(text: string): ParsedDocument {
  try {
    return parseDocument(text);
  } catch (error) {
    if (!(error instanceof RangeError)) throw error;
    // The parser descends by recursion, so nesting can exhaust the stack.
    const expected = "a less deeply nested document";
    const value = text.slice(0, MAX_VALUE_CHARS);
    return { problems: [{ line: 1, key: "", value, expected }] };
  }
}

function parseAndCheckDocument<T>(
  text: string,
  file: string,
  check: DocumentCheck<T>,
): Result<T, DocumentFailure> {
  const kind = "invalid-document" as const;
  const { root, problems } = parseDocumentSafely(text);
  if (root === undefined || problems.length > 0) {
    return err({ kind, file, problems });
  }
  return check(getNodeValue(root)).mapErr((faults) => ({
    kind,
    file,
    problems: faults
      .slice(0, MAX_PROBLEMS)
      .map((fault) => createProblem(text, root, fault)),
  }));
}

/** Checks what only one role needs; the schema covers what both need. */
function listRoleFaults(settings: Settings): DocumentFault[] {
  const { role, listen, engine, service } = settings;
  if (role === "endpoint") {
    if ((engine === undefined) !== (service === undefined)) return [];
    const expected = 'either engine or service for role "endpoint"';
    const value = engine === undefined ? undefined : "both";
    return [{ path: ["engine or service"], value, expected }];
  }
  const requiredValues: [string[], unknown][] = [
    [["listen", "callerPort"], listen.callerPort],
    [["listen", "operatorPort"], listen.operatorPort],
    [["objectStore"], settings.objectStore],
    [["sessionKey"], settings.sessionKey],
  ];
  const expected = `a value; role "${role}" needs it`;
  return requiredValues
    .filter(([, value]) => value === undefined)
    .map(([path]) => ({ path, value: undefined, expected }));
}

function checkRoleSettings(value: unknown) {
  return checkSettings(value).andThen((settings) => {
    const faults = listRoleFaults(settings);
    return faults.length === 0 ? ok(settings) : err(faults);
  });
}

/** Checks the text of a settings file. */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, DocumentFailure> {
  return parseAndCheckDocument(text, file, checkRoleSettings);
}

/** Checks the text of a ticket file or request body. */
export function parseTicket(
  text: string,
  file: string,
): Result<Ticket, DocumentFailure> {
  return parseAndCheckDocument(text, file, checkTicketDocument);
}

const CONTROLS_AND_LINE_BREAKS = /[\p{Cc}\u2028\u2029]/gu;

/** One line per problem, for terminals and logs. */
export function formatDocumentFailure(failure: DocumentFailure): string {
  return failure.problems
    .map(({ line, key, value, expected }) => {
      const valueText = (JSON.stringify(value) ?? "nothing").slice(
        0,
        MAX_VALUE_CHARS,
      );
      return `${failure.file}:${line}: ${key || "document"}: got ${valueText}, expected ${expected}`;
    })
    .map((text) =>
      // Keys and values come from the file and may contain line breaks.
      text.replace(CONTROLS_AND_LINE_BREAKS, (c) => encodeURIComponent(c)),
    )
    .join("\n");
}
