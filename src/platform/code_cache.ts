/**
 * Loads a bundled file with its compiled code from a cache file beside it. V8
 * rejects a cache from another V8 version, or for another source text, and
 * compiles the source instead.
 */

import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Script } from "node:vm";

export interface BundleOptions {
  /** Holds the bundled file and its cache. */
  readonly folder: string;
  readonly require: NodeJS.Require;
}

/** Function that wraps the source of a CommonJS module. */
type ModuleWrapper = (
  exports: unknown,
  require: NodeJS.Require,
  module: { exports: unknown },
) => void;

function createScript(name: string, folder: string): Script {
  const filename = join(folder, `${name}.cjs`);
  const source = readFileSync(filename, "utf8");
  const cachePath = getCachePath(name, folder);
  return new Script(`(function (exports, require, module) {${source}\n})`, {
    filename,
    cachedData: existsSync(cachePath) ? readFileSync(cachePath) : undefined,
  });
}

function getCachePath(name: string, folder: string): string {
  return join(folder, `${name}.cache`);
}

function runScript(script: Script, options: BundleOptions): unknown {
  const module: { exports: unknown } = { exports: {} };
  const wrapper: ModuleWrapper = script.runInThisContext();
  wrapper(module.exports, options.require, module);
  return module.exports;
}

/** Returns the exports of the bundled file. */
export function loadBundle<T>(name: string, options: BundleOptions): T {
  return runScript(createScript(name, options.folder), options) as T;
}

/** Loads the bundled file and caches the code that was compiled for it. */
export function writeCodeCache(name: string, options: BundleOptions): void {
  const script = createScript(name, options.folder);
  runScript(script, options);
  const cachePath = getCachePath(name, options.folder);
  writeFileSync(cachePath, script.createCachedData());
}
