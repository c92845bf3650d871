export * from "./clock.js";
export * from "./fleet/index.js";
export * from "./loop_delay.js";
export * from "./metrics.js";
export * from "./placing/index.js";
export * from "./request/index.js";
export * from "./types.js";
