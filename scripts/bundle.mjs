// Bundles the entry for the platform: a start reads few files instead of some
// hundred, and every millisecond of it counts after a restart. Node 20 loads
// CommonJS faster than ES modules.
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { build } from "esbuild";
import { parse } from "smol-toml";

/** Optional parts of the log library; it does without, for files and tracing. */
const OPTIONAL = /^(?:mv|dtrace-provider|source-map-support)$/;
/** Parts of the metrics library that nothing uses and that load slowly. */
const UNUSED = /^\.\/lib\/(?:pushgateway|defaultMetrics)$/;

/** Replaces modules by code that is run when they are asked for. */
function replaceModules(filter, contents) {
  return {
    name: `replace ${filter}`,
    setup(bundling) {
      const namespace = `replaced ${filter}`;
      bundling.onResolve({ filter }, ({ path }) => ({ path, namespace }));
      bundling.onLoad({ filter: /.*/, namespace }, () => ({ contents }));
    },
  };
}

const common = {
  outdir: "target",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  sourcemap: false,
};
await build({
  ...common,
  entryPoints: { program: "src/platform/main.ts" },
  plugins: [
    replaceModules(OPTIONAL, 'throw new Error("Not part of the bundle");'),
    replaceModules(UNUSED, "module.exports = {};"),
  ],
});
await build({
  ...common,
  entryPoints: { entry: "src/platform/start.ts" },
});
// Compiled code is taken from the cache under the same flags only.
const deploy = parse(readFileSync("deploy/system.toml", "utf8"));
const words = deploy.roles.entry.run.split(" ");
const flags = words.filter((word) => word.startsWith("--"));
const cached = spawnSync(
  process.execPath,
  [...flags, "target/entry.cjs", "--write-cache"],
  { stdio: "inherit" },
);
process.exit(cached.status ?? 1);
