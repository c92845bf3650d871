/**
 * Routes, accounts, endpoints and requests, as the proxy sees them. Code of one
 * platform decodes them from that platform's own formats.
 */

/** Whether a request may be sent to an endpoint again after a failure. */
export const RETRY_POLICY = {
  /** Idempotent: may run any number of times. */
  freely: "freely",
  /** May run once at most: retried only if it surely has not run. */
  once: "once",
  /** Stream that another endpoint may continue after the last event sent. */
  resume: "resume",
} as const;
export type RetryPolicy = (typeof RETRY_POLICY)[keyof typeof RETRY_POLICY];

export interface ServiceShare {
  readonly service: string;
  /** Share of the route's requests, relative to the other services. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  /** Host name in the caller's request. */
  readonly host: string;
  /** Prefix of the request path; begins and ends with a slash. */
  readonly prefix: string;
  readonly retryPolicy: RetryPolicy;
  readonly isStream: boolean;
  /** Time limit for the whole answer. */
  readonly timeoutMs: number;
  /** Target for the time to the answer, or to the first event of a stream. */
  readonly targetMs: number;
  /** Target for the longest gap between two events of a stream. */
  readonly targetEventGapMs: number;
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  /** Most attempts for one request, each at a different endpoint. */
  readonly maxAttempts: number;
  readonly needsApiKey: boolean;
  /** Prompts of the route share their first parts, which endpoints cache. */
  readonly sharesPrompts: boolean;
  /** Models of the cascade, smallest first; if empty, the caller's choice. */
  readonly models: readonly string[];
  readonly services: readonly ServiceShare[];
}

export interface ModelPrice {
  readonly name: string;
  /** Price of 1,000 output tokens; a prompt token costs a quarter of one. */
  readonly cost: number;
}

export interface Service {
  readonly name: string;
  /** Connections that one endpoint accepts, summed over all entries. */
  readonly maxConnections: number;
  /** How long an endpoint is cold, that is slow, after its start. */
  readonly coldMs: number;
  /** Requests per second that a cold endpoint takes, over all entries. */
  readonly coldPerSecond: number;
  /** Entries tell each other their load on its endpoints. */
  readonly isLoadShared: boolean;
  readonly models: readonly ModelPrice[];
}

export interface ClientAccount {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Priority that overrides the rank of the route. */
  readonly rank?: number;
}

export interface CallerLimits {
  /** Of a request's head: its target and the names and values of headers. */
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly idleTimeoutMs: number;
  readonly headerTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /**
   * Accounts whose keys may be used. Undefined where the configuration has none
   * at all, so that no request needs a key; nobody may call with an empty list.
   */
  readonly accounts?: readonly ClientAccount[];
  readonly limits: CallerLimits;
}

/** What an endpoint registers about itself. */
export interface EndpointRecord {
  /** Usually differs for each start of an endpoint. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Version of the software that the endpoint runs. */
  readonly version: string;
  /** Requests that it runs concurrently. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Rest of the time in which it is cold, as of the writing of the record. */
  readonly coldLeftMs: number;
  /** Unix time of the endpoint's start; tells two starts of one id apart. */
  readonly startedAtMs?: number;
  /** Counts the endpoint's writes of its record since its start. */
  readonly sequence?: number;
}

/** An operator's order to roll a service out to the version `target`. */
export interface RolloutOrder {
  readonly service: string;
  readonly target: string;
  readonly durationMs: number;
  readonly outcome?: RolloutOutcome;
  /** Distinguishes two orders for one service. */
  readonly createdRevision: number;
  /** Revision of the stored object, for a conditional write. */
  readonly revision: number;
}

export const ROLLOUT_OUTCOME = {
  completed: "completed",
  rolledBack: "rolled-back",
} as const;
export type RolloutOutcome =
  (typeof ROLLOUT_OUTCOME)[keyof typeof ROLLOUT_OUTCOME];

/** A part of a prompt; lists have them in the order the model reads them. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What is known of a caller's request, mostly parsed from its head. */
export interface RequestFacts {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly apiKey?: string;
  /** How long the caller waits for the answer. */
  readonly deadlineMs?: number;
  readonly session?: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly parts: readonly PromptPart[];
  /** Last event that the caller received of an interrupted stream. */
  readonly lastEventId?: number;
  /**
   * Hash of the caller, the path and the body; the same each time that a caller
   * repeats the request. Known once the body has been read.
   */
  readonly fingerprint?: string;
}

/** What the headers of one attempt at an endpoint are created from. */
export interface AttemptFacts {
  readonly endpoint: EndpointRecord;
  readonly deadlineMs: number;
  readonly account?: string;
  readonly model?: string;
  readonly rank: number;
  readonly lastEventId?: number;
  readonly bodyBytes: number;
}

/** Where a program listens. */
export interface NetworkAddress {
  readonly address: string;
  readonly port: number;
}

/** Load that an endpoint reports in an answer. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on its host at this moment; 1 is usual. */
  readonly hostSlowness?: number;
}

/** What is parsed from the head of an endpoint's answer. */
export interface AnswerFacts {
  /** Id of the request that this answers. */
  readonly requestId?: string;
  /** The endpoint signed the answer. */
  readonly isSigned: boolean;
  /** The endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** The endpoint is shutting down and takes no new requests. */
  readonly isLeaving: boolean;
  /** Id of the endpoint that answers, if the answer names it. */
  readonly endpointId?: string;
  readonly load?: EndpointLoad;
  /** The model's confidence in its own answer, 0 to 100. */
  readonly confidence?: number;
  /** Time for which an endpoint that refuses asks for no more requests. */
  readonly retryAfterMs?: number;
  /** The text that should say `retryAfterMs` but can't be parsed. */
  readonly invalidRetryAfter?: string;
  /** Requests per second that the endpoint takes from all entries together. */
  readonly limitPerSecond?: number;
  /** The text that should say `limitPerSecond` but can't be parsed. */
  readonly invalidLimit?: string;
}

/** Names and values in turn, as in Node's `rawHeaders`. */
export type RawHeaders = string[];

/** Parses and creates the HTTP headers of one platform. */
export interface WireFormat {
  /** Undefined when the head lacks a required part. */
  parseRequest(
    method: string,
    target: string,
    headers: RawHeaders,
  ): RequestFacts | undefined;
  createAttemptHeaders(headers: RawHeaders, facts: AttemptFacts): RawHeaders;
  parseAnswer(headers: RawHeaders): AnswerFacts;
  /** True where this status tells a caller that the request has not run. */
  isNotRunStatus(status: number): boolean;
  /** Headers of an endpoint's answer that are passed on to the caller. */
  createAnswerHeaders(headers: RawHeaders): RawHeaders;
  createRefusalHeaders(requestId: string, retryAfterMs?: number): RawHeaders;
}
