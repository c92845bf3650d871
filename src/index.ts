/**
 * Public API of Hornbeamrill as a library: documents and messages, the pure
 * core, and the functions that start a role inside another program.
 */

export {
  createLogger,
  createMetrics,
  type DocumentFailure,
  type DocumentProblem,
  formatDocumentFailure,
  type LogFields,
  type Logger,
  METRICS,
  type MetricName,
  type Metrics,
  parseSettings,
  parseTicket,
} from "./adapters/index.js";
export * from "./core/index.js";
export {
  type RoleOptions,
  type RunningRole,
  startEndpointRole,
  startEntryRole,
} from "./roles/index.js";
export * from "./schema/index.js";
