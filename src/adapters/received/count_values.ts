/** Counts the values of JSON text before it is parsed. */

/** Bytes of JSON that come before or after a value: `[`, `{` and `,`. */
const VALUE_MARKS = { bracket: 0x5b, brace: 0x7b, comma: 0x2c } as const;

/** At least the number of values; text may have the same bytes. */
export function countValues(data: Uint8Array): number {
  const { bracket, brace, comma } = VALUE_MARKS;
  let count = 0;
  for (const byte of data)
    if (byte === comma || byte === brace || byte === bracket) count++;
  return count;
}
