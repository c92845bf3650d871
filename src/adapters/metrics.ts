/** StatsD metrics over UDP; docs/metrics.md lists the names. */

import { StatsD } from "hot-shots";
import type { Address, Settings } from "../schema/index.js";

/** Metric names; the prefix hornbeamrill. is added when they are sent. */
export const METRICS = {
  requests: "requests",
  refusals: "refusals",
  latency: "request.duration_ms",
  firstByte: "request.first_byte_ms",
  dispatches: "dispatches",
  attemptsFailed: "attempts.failed",
  judged: "cascade.judged",
  cost: "cost",
  receiptsOpen: "receipts.open",
  revision: "config.revision",
  confirmationAge: "config.confirmation_age_ms",
  inFlight: "endpoint.in_flight",
  limit: "endpoint.limit",
  queued: "endpoint.queued",
} as const;

export type MetricName = (typeof METRICS)[keyof typeof METRICS];

export interface Metrics {
  /** Adds the amount, 1 when it is absent. */
  addCount(
    name: MetricName,
    tags?: Record<string, string>,
    amount?: number,
  ): void;
  recordTime(
    name: MetricName,
    milliseconds: number,
    tags?: Record<string, string>,
  ): void;
  setGauge(name: MetricName, value: number): void;
}

/** Keeps a datagram within one Ethernet frame. */
const MAX_PACKET_BYTES = 1_400;
const FLUSH_INTERVAL_MS = 1_000;

const NO_METRICS: Metrics = {
  addCount() {},
  recordTime() {},
  setGauge() {},
};

/** Sends to the address in the settings, or nowhere without one. */
export function createMetrics(
  address: Address | undefined,
  settings: Pick<Settings, "name" | "role" | "dataCentre">,
  signal: AbortSignal,
): Metrics {
  if (address === undefined) return NO_METRICS;
  const client = new StatsD({
    host: address.address,
    port: address.port,
    prefix: "hornbeamrill.",
    maxBufferSize: MAX_PACKET_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    globalTags: {
      role: settings.role,
      name: settings.name,
      data_centre: settings.dataCentre,
    },
    // Metrics are best effort: a send failure must not end the process.
    errorHandler: () => {},
  });
  signal.addEventListener("abort", () => client.close(() => {}), {
    once: true,
  });
  return {
    addCount: (name, tags, amount = 1) => client.increment(name, amount, tags),
    recordTime: (name, milliseconds, tags) =>
      client.timing(name, milliseconds, tags),
    setGauge: (name, value) => client.gauge(name, value),
  };
}
