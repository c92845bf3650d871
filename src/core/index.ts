export * from "./errors.js";
export * from "./events.js";
export * from "./fleet_state.js";
export * from "./tickets.js";
