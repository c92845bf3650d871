// Bundles the entry for the platform, so that it reads few files at its start
// instead of some hundred: every millisecond counts after a restart. The format
// is CommonJS, which Node 20 loads faster than ES modules.
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { build } from "esbuild";
import { parse } from "smol-toml";

/** Optional dependencies of the log library, for log files and tracing only. */
const OPTIONAL_MODULES = /^(?:mv|dtrace-provider|source-map-support)$/;
/** Parts of the metrics library that are unused and slow to load. */
const UNUSED_MODULES = /^\.\/lib\/(?:pushgateway|defaultMetrics)$/;

/** Plugin that replaces modules by code, which runs when they are required. */
function replaceModules(filter, contents) {
  return {
    name: `replace ${filter}`,
    setup(pluginBuild) {
      const namespace = `replaced ${filter}`;
      pluginBuild.onResolve({ filter }, ({ path }) => ({ path, namespace }));
      pluginBuild.onLoad({ filter: /.*/, namespace }, () => ({ contents }));
    },
  };
}

const commonOptions = {
  outdir: "target",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  sourcemap: false,
};
await build({
  ...commonOptions,
  entryPoints: { program: "src/platform/main.ts" },
  plugins: [
    replaceModules(
      OPTIONAL_MODULES,
      'throw new Error("Not part of the bundle");',
    ),
    replaceModules(UNUSED_MODULES, "module.exports = {};"),
  ],
});
await build({
  ...commonOptions,
  entryPoints: { entry: "src/platform/start.ts" },
});
// Writes the cache of compiled code with the flags of the deployment, since
// Node uses the cache only when its flags are the same.
const deployment = parse(readFileSync("deploy/system.toml", "utf8"));
const commandWords = deployment.roles.entry.run.split(" ");
const nodeFlags = commandWords.filter((word) => word.startsWith("--"));
const cacheRun = spawnSync(
  process.execPath,
  [...nodeFlags, "target/entry.cjs", "--write-cache"],
  { stdio: "inherit" },
);
process.exit(cacheRun.status ?? 1);
