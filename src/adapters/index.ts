export * from "./object_store.js";
