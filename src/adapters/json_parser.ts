/** Checks replies of the outside systems against their schemas. */

import { Ajv, type SchemaObject } from "ajv";
import { err, ok, type Result } from "neverthrow";

export interface MalformedReply {
  readonly detail: string;
}

const ajv = new Ajv({ allErrors: false });

/** Gives a function that parses JSON text and checks it. */
export function createParser<T>(
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

/** The `code` of an error reply, for the detail of a failure. */
export function readErrorCode(body: Buffer): string {
  try {
    const code = JSON.parse(String(body))?.code;
    return typeof code === "string" ? code : "";
  } catch {
    return "";
  }
}
