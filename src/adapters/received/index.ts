export * from "./arrivals.js";
export * from "./bounds.js";
export * from "./chunk_meter.js";
export * from "./count_values.js";
export * from "./held_memory.js";
export * from "./memory_budget.js";
export * from "./received_body.js";
