/** Parses JSON of external systems and validates it against a schema. */

import { Ajv, type SchemaObject } from "ajv";
import { err, ok, type Result } from "neverthrow";

export interface MalformedReply {
  readonly detail: string;
}

const ajv = new Ajv({ allErrors: false });

/** Returns a function that parses JSON text and validates it. */
export function createJsonParser<T>(
  schema: SchemaObject,
): (text: string | Buffer) => Result<T, MalformedReply> {
  const validate = ajv.compile<T>(schema);
  return (text) => {
    let value: unknown;
    try {
      value = JSON.parse(String(text));
    } catch {
      return err({ detail: "Reply is not JSON" });
    }
    if (validate(value)) return ok(value);
    return err({ detail: `Reply ${ajv.errorsText(validate.errors)}` });
  };
}

/** Reads an error reply's `code` for the failure's detail; may be empty. */
export function readErrorCode(body: Buffer): string {
  try {
    const code = JSON.parse(String(body))?.code;
    return typeof code === "string" ? code : "";
  } catch {
    return "";
  }
}
