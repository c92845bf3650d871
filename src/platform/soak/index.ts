export * from "./checks.js";
export * from "./records.js";
export * from "./soak.js";
