import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { METRICS } from "./adapters/index.js";
import { EXIT_CODES } from "./cli/exit_codes.js";
import { REFUSAL_CODES } from "./core/index.js";
import { settingsSchema } from "./schema/index.js";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const readPage = (name: string) => readFileSync(`${ROOT}docs/${name}`, "utf8");

/** Cells of the table rows whose first cell starts with inline code. */
function listRows(page: string): string[][] {
  return page
    .split("\n")
    .filter((line) => line.startsWith("| `"))
    .map((line) => line.split(/(?<!\\)\|/).map((cell) => cell.trim()))
    .map((cells) => cells.slice(1, -1));
}

interface SchemaNode {
  readonly $ref?: string;
  readonly type?: string;
  readonly enum?: readonly string[];
  readonly required?: readonly string[];
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly additionalProperties?: boolean | SchemaNode;
}

/** Each leaf key of the settings as `path: type` or `path: type, required`. */
function listSettings(
  schema: SchemaNode,
  path: string,
  isRequired: boolean,
): string[] {
  const definitions: Record<string, SchemaNode> = settingsSchema.definitions;
  const name = schema.$ref?.split("/").at(-1) ?? "";
  const node = definitions[name] ?? schema;
  if (node.type !== "object") {
    const type =
      node.enum?.map((value) => `"${value}"`).join(", ") ?? node.type;
    return [`${path}: ${type}${isRequired ? ", required" : ""}`];
  }
  const prefix = path === "" ? "" : `${path}.`;
  const additional = node.additionalProperties;
  return [
    ...Object.entries(node.properties ?? {}).flatMap(([key, child]) =>
      listSettings(child, prefix + key, node.required?.includes(key) ?? false),
    ),
    ...(typeof additional === "object"
      ? listSettings(additional, `${prefix}NAME`, true)
      : []),
  ];
}

/** Exported and top-level functions of the sources, by file. */
function listFunctions(): { file: string; name: string }[] {
  const files = readdirSync(`${ROOT}src`, { recursive: true })
    .map(String)
    .filter(
      (file) => /(?<!_test)\.ts$/.test(file) && !file.startsWith("schema/"),
    );
  return files.flatMap((file) => {
    const text = readFileSync(`${ROOT}src/${file}`, "utf8");
    const pattern = /^(?:export )?(?:async )?function\*? (\w+)/gm;
    return [...text.matchAll(pattern)]
      .map((match) => match[1] ?? "")
      .filter((name) => /^[a-z]/.test(name))
      .map((name) => ({ file, name }));
  });
}

describe("documentation pages", () => {
  // Pages that no longer match the program mislead their readers.
  it("settings.md lists every key of the schema with its type", () => {
    const rows = listRows(readPage("settings.md"));
    const listed = rows.map(([key, type, , defaultValue]) => {
      const suffix = defaultValue === "required" ? ", required" : "";
      return `${key?.replaceAll("`", "")}: ${type?.replaceAll("`", "")}${suffix}`;
    });
    const expected = listSettings(settingsSchema as SchemaNode, "", true);
    assert.deepEqual(listed.sort(), expected.sort());
  });

  it("metrics.md lists every metric", () => {
    const listed = listRows(readPage("metrics.md")).map(([name]) => name);
    const expected = Object.values(METRICS).map((n) => `\`hornbeamrill.${n}\``);
    assert.deepEqual(listed.sort(), expected.sort());
  });

  it("has code that sends every listed metric", () => {
    const text = [
      "entry/entry_role.ts",
      "entry/outcome_recorder.ts",
      "request/request_runner.ts",
      "request/request_judge.ts",
      "endpoint/endpoint_role.ts",
    ]
      .map((file) => readFileSync(`${ROOT}src/${file}`, "utf8"))
      .join("\n");
    const unsent = Object.keys(METRICS).filter(
      (key) => !text.includes(`METRICS.${key}`),
    );
    assert.deepEqual(unsent, []);
  });

  it("OPERATIONS.md lists every refusal code with status and ran, and every exit code", () => {
    const rows = listRows(readPage("OPERATIONS.md"));
    const codes = rows.filter(([, status]) => /^[45]\d\d$/.test(status ?? ""));
    const expected = Object.entries(REFUSAL_CODES).map(
      ([code, { status, ran }]) => `\`${code}\` ${status} ${ran}`,
    );
    assert.deepEqual(
      codes.map((row) => row.slice(0, 3).join(" ")).sort(),
      expected.sort(),
    );
    const exits = rows.filter(([code]) => /^`\d`$/.test(code ?? ""));
    const listed = exits.map(([code]) => Number(code?.replaceAll("`", "")));
    assert.deepEqual(listed, Object.values(EXIT_CODES));
  });

  it("glossary.md lists the verb that starts each function name", () => {
    const verbs = new Set(
      listRows(readPage("glossary.md")).flatMap(([first]) =>
        [...(first ?? "").matchAll(/`(\w+)`/g)].map((match) => match[1]),
      ),
    );
    const unlisted = listFunctions().filter(
      ({ name }) => !verbs.has(/^[a-z]+/.exec(name)?.[0]),
    );
    assert.ok(listFunctions().length > 300);
    assert.deepEqual(unlisted, []);
  });
});
