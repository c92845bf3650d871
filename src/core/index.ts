export * from "./canonical.js";
export * from "./errors.js";
export * from "./events.js";
export * from "./fleet_state.js";
export * from "./freshness.js";
export * from "./rating_totals.js";
export * from "./ticket_check.js";
export * from "./tickets.js";
