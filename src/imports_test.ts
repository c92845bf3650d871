import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const SOURCES = fileURLToPath(new URL("../src/", import.meta.url));
const IMPORT = /^(?:import|export)\s[^;]*?from\s+"(\.[^"]+)\.js"/gm;
const files = readdirSync(SOURCES, { recursive: true })
  .map(String)
  .filter((file) => file.endsWith(".ts"));
const texts = new Map(
  files.map((file) => [file, readFileSync(join(SOURCES, file), "utf8")]),
);

function listImports(file: string): string[] {
  return [...(texts.get(file) ?? "").matchAll(IMPORT)].map((found) =>
    normalize(join(dirname(file), `${found[1]}.ts`)),
  );
}

/** A path of imports from a file back to itself. */
function findCircle(start: string): string[] | undefined {
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

/** The room of the request path that a file lies in. */
function findRoom(file: string): string | undefined {
  return /^proxy\/(placing|fleet|request)\//.exec(file)?.[1];
}

describe("the sources", () => {
  // Files that need each other can't be read or moved one by one.
  it("have no circle of imports", () => {
    const circles = files.flatMap(
      (file) => findCircle(file)?.join(" > ") ?? [],
    );
    assert.deepEqual(circles, []);
  });

  // A decision that needs the network can't be played without it.
  it("keep the rooms of the request path in order", () => {
    const order = ["placing", "fleet", "request"];
    const wrong = files.flatMap((file) => {
      const room = findRoom(file);
      if (room === undefined) return [];
      return listImports(file).filter((target) => {
        const other = findRoom(target);
        return (
          other !== undefined && order.indexOf(other) > order.indexOf(room)
        );
      });
    });
    assert.deepEqual(wrong, []);
  });

  it("keep placing free of network, timers and files", () => {
    const wrong = files.filter(
      (file) =>
        findRoom(file) === "placing" &&
        !file.endsWith("_test.ts") &&
        /from "node:|setTimeout|Date\.now|performance\.now|Math\.random/.test(
          texts.get(file) ?? "",
        ),
    );
    assert.deepEqual(wrong, []);
  });
});
