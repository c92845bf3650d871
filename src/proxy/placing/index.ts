export * from "./cascade.js";
export * from "./endpoint_choice.js";
export * from "./endpoint_state.js";
export * from "./endpoint_wishes.js";
export * from "./prompt_cache_estimate.js";
export * from "./prompt_homes.js";
export * from "./repeat_budget.js";
