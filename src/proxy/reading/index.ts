export * from "./connection_limit.js";
export * from "./connection_reads.js";
export * from "./pipelining_limit.js";
