/** Counts the fields of a message of another entry before it is decoded. */

import { BinaryReader, WireType } from "@bufbuild/protobuf/wire";

/** Fields that hold messages, by number, as in `proto/exchange.proto`. */
export interface NestedFields {
  readonly [field: number]: NestedFields;
}

/**
 * Returns the number of fields, those of nested messages included, or a larger
 * one than `maxFields` as soon as there are more. Throws where the bytes are no
 * message.
 */
export function countFields(
  data: Uint8Array,
  nested: NestedFields,
  maxFields: number,
): number {
  const reader = new BinaryReader(data);
  let count = 0;
  const countUntil = (end: number, fields: NestedFields) => {
    while (reader.pos < end && count <= maxFields) {
      count++;
      const [field, wireType] = reader.tag();
      const inner = fields[field];
      const isMessage =
        inner !== undefined && wireType === WireType.LengthDelimited;
      if (isMessage) countUntil(reader.uint32() + reader.pos, inner);
      else reader.skip(wireType, field);
    }
  };
  countUntil(reader.len, nested);
  return count;
}
