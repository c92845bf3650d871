export * from "./channels.js";
export * from "./documents.js";
export * from "./http.js";
export * from "./logs.js";
export * from "./metrics.js";
export * from "./object_store.js";
