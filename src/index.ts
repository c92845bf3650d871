/**
 * The public surface of the library part of Hornbeamrill: the documents and
 * messages, the pure core, and what starts a role in a program of one's own.
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
