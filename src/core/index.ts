export * from "./claims.js";
export * from "./errors.js";
export * from "./events.js";
export * from "./fleet_state.js";
export * from "./receipts.js";
export * from "./tickets.js";
