export * from "./judge_soak.js";
export * from "./records.js";
export * from "./soak.js";
