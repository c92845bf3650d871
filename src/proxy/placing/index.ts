export * from "./announced_availability.js";
export * from "./cascade.js";
export * from "./endpoint_choice.js";
export * from "./endpoint_limit.js";
export * from "./endpoint_state.js";
export * from "./preferred_endpoints.js";
export * from "./prompt_cache_estimate.js";
export * from "./retry_budget.js";
