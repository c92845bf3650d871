export * from "./cascade.js";
export * from "./endpoint_choice.js";
export * from "./endpoint_state.js";
export * from "./prompt_cache.js";
export * from "./prompt_homes.js";
export * from "./repeat_budget.js";
export * from "./settled_doubts.js";
