export * from "./call_failure.js";
export * from "./engine.js";
export * from "./host_list.js";
export * from "./object_store.js";
export * from "./plain_service.js";
export * from "./rating_service.js";
