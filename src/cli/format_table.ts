/** Plain text tables for terminals. */

export type TableRow = readonly (string | number)[];

/** Pads the cells of each column; columns of numbers are right-aligned. */
export function formatTable(
  header: readonly string[],
  rows: TableRow[],
): string {
  const cells = [header, ...rows].map((row) => row.map(String));
  const widths = header.map((_, column) =>
    Math.max(...cells.map((row) => row[column]?.length ?? 0)),
  );
  const isNumeric = header.map((_, column) =>
    rows.every((row) => typeof row[column] === "number"),
  );
  return cells
    .map((row) =>
      row
        .map((cell, column) =>
          isNumeric[column]
            ? cell.padStart(widths[column] ?? 0)
            : cell.padEnd(widths[column] ?? 0),
        )
        .join("  ")
        .trimEnd(),
    )
    .join("\n");
}
