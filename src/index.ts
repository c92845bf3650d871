/** The public surface of the library part of Hornbeamrill. */

export * from "./core/index.js";
export * from "./schema/index.js";
