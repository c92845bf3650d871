export * from "./config_handlers.js";
export * from "./config_peers.js";
export * from "./config_sync.js";
export * from "./config_view.js";
export * from "./revision_store.js";
export * from "./session_store.js";
export * from "./ticket_commit.js";
export * from "./ticket_service.js";
