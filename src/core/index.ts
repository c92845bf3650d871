export * from "./endpoint_index.js";
export * from "./errors.js";
export * from "./events.js";
export * from "./fleet_state.js";
export * from "./pending.js";
export * from "./router.js";
export * from "./tickets.js";
