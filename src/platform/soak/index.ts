export { BUNDLE_FILE } from "./fleet.js";
export * from "./judge_soak.js";
export * from "./properties.js";
export * from "./records.js";
export * from "./soak.js";
