/**
 * Loads a bundled file with its compiled code from a cache beside it. V8
 * refuses a cache of another version, or of another text, and compiles anew.
 */

import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Script } from "node:vm";

export interface BundleOptions {
  readonly folder: string;
  readonly require: NodeJS.Require;
}

/** What a CommonJS module is called with. */
type ModuleFunction = (
  exports: unknown,
  require: NodeJS.Require,
  module: { exports: unknown },
) => void;

function createScript(name: string, folder: string): Script {
  const filename = join(folder, `${name}.cjs`);
  const text = readFileSync(filename, "utf8");
  const cacheFile = getCacheFile(name, folder);
  return new Script(`(function (exports, require, module) {${text}\n})`, {
    filename,
    cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
  });
}

function getCacheFile(name: string, folder: string): string {
  return join(folder, `${name}.cache`);
}

function runScript(script: Script, options: BundleOptions): unknown {
  const module: { exports: unknown } = { exports: {} };
  const run: ModuleFunction = script.runInThisContext();
  run(module.exports, options.require, module);
  return module.exports;
}

/** What the bundled file exports. */
export function loadCached<T>(name: string, options: BundleOptions): T {
  return runScript(createScript(name, options.folder), options) as T;
}

/** Writes the cache with the code that a load compiles. */
export function writeCache(name: string, options: BundleOptions): void {
  const script = createScript(name, options.folder);
  runScript(script, options);
  const file = getCacheFile(name, options.folder);
  writeFileSync(file, script.createCachedData());
}
