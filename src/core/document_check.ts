/** Checks values against the JSON Schemas of the project's documents. */

import { Ajv, type ErrorObject } from "ajv";
import { err, ok, type Result } from "neverthrow";
import { fleetStateSchema } from "../schema/schemas.js";

/** A validation error: the key, its value and what was expected. */
export interface DocumentFault {
  /** Keys from the root to the value; empty for the document itself. */
  readonly path: readonly string[];
  /** Absent when the key is missing. */
  readonly value: unknown;
  readonly expected: string;
}

export type DocumentCheck<T> = (value: unknown) => Result<T, DocumentFault[]>;

const ajv = new Ajv({ allErrors: true, strict: false, verbose: true });
ajv.addSchema(fleetStateSchema);

function parsePointer(pointer: string): string[] {
  return pointer
    .split("/")
    .slice(1)
    .map((part) => part.replaceAll("~1", "/").replaceAll("~0", "~"));
}

function describeExpectation({ keyword, params, message }: ErrorObject) {
  if (keyword === "required") return "a value; the key is missing";
  if (keyword === "additionalProperties") return "no such key";
  if (keyword === "enum") {
    return `one of ${(params.allowedValues as unknown[]).join(", ")}`;
  }
  return message ?? keyword;
}

function createFault(error: ErrorObject): DocumentFault {
  const { instancePath, params, data } = error;
  const path = parsePointer(instancePath);
  const expected = describeExpectation(error);
  const { missingProperty, additionalProperty } = params;
  if (missingProperty !== undefined) {
    return { path: [...path, missingProperty], value: undefined, expected };
  }
  if (additionalProperty !== undefined) {
    const value = (data as Record<string, unknown>)[additionalProperty];
    return { path: [...path, additionalProperty], value, expected };
  }
  return { path, value: data, expected };
}

/** Compiles a schema into a check that lists every fault of a document. */
export function createDocumentCheck<T>(schema: object): DocumentCheck<T> {
  const validate = ajv.compile<T>(schema);
  return (value) =>
    validate(value)
      ? ok(value)
      : err((validate.errors ?? []).map((error) => createFault(error)));
}
