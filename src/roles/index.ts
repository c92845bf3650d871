export * from "./config_handlers.js";
export * from "./config_peers.js";
export * from "./config_sync.js";
export * from "./config_view.js";
export * from "./endpoint_role.js";
export * from "./entry.js";
export * from "./revision_store.js";
export * from "./ticket_commit.js";
