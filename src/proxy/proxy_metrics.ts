/** Metrics of the proxy in the Prometheus text format. */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { LimitStatus } from "./fleet/index.js";

const LATENCY_BUCKETS_SECONDS = [0.01, 0.03, 0.1, 0.3, 1, 3, 10];

export class ProxyMetrics {
  readonly #registry = new Registry();
  readonly requests = new Counter({
    name: "hornbeamrill_requests_total",
    help: "Requests by route and outcome",
    labelNames: ["route", "outcome"] as const,
    registers: [this.#registry],
  });
  readonly unansweredRequests = new Counter({
    name: "hornbeamrill_unanswered_requests_total",
    help: "Requests that ended without a whole answer, by reason",
    labelNames: ["reason"] as const,
    registers: [this.#registry],
  });
  readonly attempts = new Counter({
    name: "hornbeamrill_attempts_total",
    help: "Attempts at endpoints by service and result",
    labelNames: ["service", "result"] as const,
    registers: [this.#registry],
  });
  readonly answerSeconds = new Histogram({
    name: "hornbeamrill_answer_seconds",
    help: "Time until the caller has the whole answer",
    labelNames: ["route"] as const,
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });
  readonly storeCalls = new Counter({
    name: "hornbeamrill_store_calls_total",
    help: "Calls to the object store by kind of object and result",
    labelNames: ["kind", "result"] as const,
    registers: [this.#registry],
  });
  readonly newsAnswers = new Counter({
    name: "hornbeamrill_news_answers_total",
    help: "Questions to another entry that reads the store, by result",
    labelNames: ["result"] as const,
    registers: [this.#registry],
  });
  readonly receivedRefusals = new Counter({
    name: "hornbeamrill_received_refusals_total",
    help: "Bodies that were not read on for want of memory or time",
    labelNames: ["sender", "reason"] as const,
    registers: [this.#registry],
  });
  readonly closedConnections = new Counter({
    name: "hornbeamrill_closed_connections_total",
    help: "Connections of callers that were closed for their sake, by reason",
    labelNames: ["reason"] as const,
    registers: [this.#registry],
  });
  readonly callerConnections = new Gauge({
    name: "hornbeamrill_caller_connections",
    help: "Open connections of callers",
    registers: [this.#registry],
  });
  readonly receivedBytes = new Gauge({
    name: "hornbeamrill_received_bytes",
    help: "Memory that received bodies hold, in bytes",
    registers: [this.#registry],
  });
  readonly configVersion = new Gauge({
    name: "hornbeamrill_config_version",
    help: "Version of the configuration in force",
    registers: [this.#registry],
  });
  readonly configAgeSeconds = new Gauge({
    name: "hornbeamrill_config_age_seconds",
    help: "Time since the store confirmed the configuration",
    registers: [this.#registry],
  });
  readonly loopDelaySeconds = new Gauge({
    name: "hornbeamrill_loop_delay_seconds",
    help: "How late timers fire, as a running mean",
    registers: [this.#registry],
  });
  readonly endpoints = new Gauge({
    name: "hornbeamrill_endpoints",
    help: "Endpoints that are registered",
    registers: [this.#registry],
  });

  readonly sharedLoadReports = new Gauge({
    name: "hornbeamrill_shared_load_reports",
    help: "Entries and data centres whose load on endpoints is known",
    registers: [this.#registry],
  });
  readonly heldPromptParts = new Gauge({
    name: "hornbeamrill_held_prompt_parts",
    help: "Prompt parts for which requests are refused, as endpoints crash",
    registers: [this.#registry],
  });
  readonly #endpointLimit = new Gauge({
    name: "hornbeamrill_endpoint_limit",
    help: "Requests per second that an endpoint takes from all entries",
    labelNames: ["endpoint"] as const,
    registers: [this.#registry],
  });
  readonly #endpointLimitPart = new Gauge({
    name: "hornbeamrill_endpoint_limit_part",
    help: "Requests per second of this limit that this entry may send",
    labelNames: ["endpoint"] as const,
    registers: [this.#registry],
  });
  readonly #endpointLimitSent = new Gauge({
    name: "hornbeamrill_endpoint_limit_sent",
    help: "Requests that this entry has sent since the limit was set",
    labelNames: ["endpoint"] as const,
    registers: [this.#registry],
  });

  /** Replaces the metrics of all limits. */
  setEndpointLimits(statuses: readonly LimitStatus[]): void {
    this.#endpointLimit.reset();
    this.#endpointLimitPart.reset();
    this.#endpointLimitSent.reset();
    for (const status of statuses) {
      const { endpoint, perSecond, partPerSecond, sentRequests } = status;
      this.#endpointLimit.set({ endpoint }, perSecond);
      this.#endpointLimitPart.set({ endpoint }, partPerSecond);
      this.#endpointLimitSent.set({ endpoint }, sentRequests);
    }
  }

  render(): Promise<string> {
    return this.#registry.metrics();
  }
}
