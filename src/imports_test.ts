import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const SOURCE_FOLDER = fileURLToPath(new URL("../src/", import.meta.url));
const IMPORT = /^(?:import|export)\s[^;]*?from\s+"(\.[^"]+)\.js"/gm;
const files = readdirSync(SOURCE_FOLDER, { recursive: true })
  .map(String)
  .filter((file) => file.endsWith(".ts"));
const texts = new Map(
  files.map((file) => [file, readFileSync(join(SOURCE_FOLDER, file), "utf8")]),
);

function listImports(file: string): string[] {
  return [...(texts.get(file) ?? "").matchAll(IMPORT)].map((match) =>
    normalize(join(dirname(file), `${match[1]}.ts`)),
  );
}

/** Finds a path of imports from a file back to itself. */
function findCycle(start: string): string[] | undefined {
  const seen = new Set<string>();
  const paths = listImports(start).map((file) => [start, file]);
  for (let path = paths.pop(); path !== undefined; path = paths.pop()) {
    const last = path.at(-1) ?? "";
    if (last === start) return path;
    if (seen.has(last)) continue;
    seen.add(last);
    paths.push(...listImports(last).map((file) => [...(path ?? []), file]));
  }
  return undefined;
}

/** Layer of the request path to which a file belongs. */
function findLayer(file: string): string | undefined {
  return /^proxy\/(placing|fleet|request)\//.exec(file)?.[1];
}

describe("the sources", () => {
  // Files that import each other can't be understood or moved separately.
  it("have no import cycles", () => {
    const cycles = files.flatMap((file) => findCycle(file)?.join(" > ") ?? []);
    assert.deepEqual(cycles, []);
  });

  // Decisions must stay testable without the network.
  it("import no later layer of the request path from an earlier one", () => {
    const layers = ["placing", "fleet", "request"];
    const violations = files.flatMap((file) => {
      const layer = findLayer(file);
      if (layer === undefined) return [];
      return listImports(file).filter((target) => {
        const other = findLayer(target);
        return (
          other !== undefined && layers.indexOf(other) > layers.indexOf(layer)
        );
      });
    });
    assert.deepEqual(violations, []);
  });

  it("keep placing free of I/O, timers, clocks and random numbers", () => {
    const violations = files.filter(
      (file) =>
        findLayer(file) === "placing" &&
        !file.endsWith("_test.ts") &&
        /from "node:|setTimeout|Date\.now|performance\.now|Math\.random/.test(
          texts.get(file) ?? "",
        ),
    );
    assert.deepEqual(violations, []);
  });
});
