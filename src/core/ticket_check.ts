/** Checks a ticket against its JSON Schema. */

import { Ajv, type ErrorObject } from "ajv";
import { err, ok, type Result } from "neverthrow";
import {
  fleetStateSchema,
  type Ticket,
  ticketSchema,
} from "../schema/index.js";
import { listSubjects } from "./tickets.js";

/** Names the first key that is wrong, its value and what was expected. */
export interface InvalidTicket {
  readonly kind: "invalid-ticket";
  /** Path of the key, such as /rollouts/0/share. */
  readonly key: string;
  /** The value as JSON, shortened. */
  readonly value: string;
  readonly expected: string;
}

const MAX_VALUE_CHARS = 120;

const ajv = new Ajv({ allErrors: false, strict: false, verbose: true });
ajv.addSchema(fleetStateSchema);
const validate = ajv.compile<Ticket>(ticketSchema);

function describeExpectation(error: ErrorObject): string {
  switch (error.keyword) {
    case "enum":
      return `one of ${JSON.stringify(error.params.allowedValues)}`;
    case "additionalProperties":
      return `no key "${error.params.additionalProperty}"`;
    case "required":
      return `key "${error.params.missingProperty}"`;
    default:
      return error.message ?? error.keyword;
  }
}

function createFailure(error: ErrorObject | undefined): InvalidTicket {
  const text = JSON.stringify(error?.data) ?? "undefined";
  return {
    kind: "invalid-ticket",
    key: error?.instancePath || "/",
    value: text.slice(0, MAX_VALUE_CHARS),
    expected:
      error === undefined ? "a valid ticket" : describeExpectation(error),
  };
}

/** Finds what the schema can't say of the number and the subjects. */
function findContentFailure(ticket: Ticket): InvalidTicket | undefined {
  // Beyond this, different numbers in the text are read as the same one.
  if (!Number.isSafeInteger(ticket.number)) {
    return {
      kind: "invalid-ticket",
      key: "/number",
      value: String(ticket.number),
      expected: `an integer up to ${Number.MAX_SAFE_INTEGER}`,
    };
  }
  const subjects = listSubjects(ticket);
  if (subjects.length === 0) {
    return {
      kind: "invalid-ticket",
      key: "/",
      value: "no subject",
      expected: "at least one subject to set or remove",
    };
  }
  const seen = new Set<string>();
  for (const subject of subjects) {
    if (seen.has(subject)) {
      return {
        kind: "invalid-ticket",
        key: "/",
        value: subject,
        expected: "each subject once",
      };
    }
    seen.add(subject);
  }
  return undefined;
}

export function checkTicket(value: unknown): Result<Ticket, InvalidTicket> {
  if (!validate(value)) return err(createFailure(validate.errors?.[0]));
  const failure = findContentFailure(value);
  return failure === undefined ? ok(value) : err(failure);
}
