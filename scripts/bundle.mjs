// Bundles the entry for the platform into one file: a start reads one file
// instead of some hundred, and start-up time counts after each restart.
import { build } from "esbuild";

await build({
  entryPoints: { entry: "src/platform/main.ts" },
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  sourcemap: false,
  // Optional parts of the log library, which it does without.
  external: ["dtrace-provider", "mv", "source-map-support"],
  // Modules in CommonJS call require, which an ES module lacks.
  banner: {
    js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
});
