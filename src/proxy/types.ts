/** What the request path knows of routes, accounts, endpoints and requests. */

/** How often one request may run on an endpoint. */
export const REPEAT = {
  /** May run any number of times. */
  freely: "freely",
  /** May run once at most. */
  once: "once",
  /** A stream that another endpoint may continue after an event. */
  resume: "resume",
} as const;
export type Repeat = (typeof REPEAT)[keyof typeof REPEAT];

export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly repeat: Repeat;
  readonly isStream: boolean;
  /** Longest time until the whole answer. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream. */
  readonly targetMs: number;
  /** Longest pause between two events of a stream that is on time. */
  readonly pauseMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Most endpoints that one request may be sent to. */
  readonly attempts: number;
  readonly needsKey: boolean;
  /** Prompts of the route share parts that endpoints keep. */
  readonly sharesPrompts: boolean;
  /** Models of a cascade, smallest first; empty when the caller names one. */
  readonly models: readonly string[];
  readonly services: readonly ServiceShare[];
}

export interface ModelPrice {
  readonly name: string;
  /** Price of 1,000 generated tokens; a token read costs a quarter. */
  readonly cost: number;
}

export interface Service {
  readonly name: string;
  /** Connections that one endpoint accepts from all entries together. */
  readonly maxConnections: number;
  /** How long an endpoint stays cold after its start. */
  readonly coldMs: number;
  /** Requests a second that a cold endpoint bears from all entries. */
  readonly coldPerSecond: number;
  readonly models: readonly ModelPrice[];
}

export interface ClientAccount {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Goes before the rank of the route. */
  readonly rank?: number;
}

export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly idleTimeoutMs: number;
  readonly headerTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly accounts: readonly ClientAccount[];
  readonly limits: CallerLimits;
}

/** An endpoint as it registers itself. */
export interface EndpointRecord {
  /** Names one start of the endpoint, mostly. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Version of the software that it runs. */
  readonly version: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** How much longer it was cold when the record was written. */
  readonly coldLeftMs: number;
  /** Start of the endpoint as Unix time; tells two lives of one id apart. */
  readonly startedAtMs?: number;
}

/** An operator's order to move a service to a version. */
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

/** A part of a prompt, in the order in which the model reads them. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What the edge reads from the head of a caller's request. */
export interface RequestFacts {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly apiKey?: string;
  /** Time that the caller waits. */
  readonly deadlineMs?: number;
  readonly session?: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly parts: readonly PromptPart[];
  /** Last event that the caller has of an earlier answer. */
  readonly lastEventId?: number;
}

/** What the path adds to a request for one attempt. */
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

/** What an endpoint says of its load. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What the edge reads from the head of an endpoint's answer. */
export interface AnswerFacts {
  /** Id of the request that the answer is for. */
  readonly requestId?: string;
  /** The endpoint signed the answer. */
  readonly isSigned: boolean;
  /** The endpoint says that it did not run the request. */
  readonly isNotRun: boolean;
  /** The endpoint that answers leaves: it wants nothing new. */
  readonly isLeaving: boolean;
  /** Id of the endpoint that answers, where it names itself. */
  readonly endpointId?: string;
  readonly load?: EndpointLoad;
  /** The model's opinion of its answer, 0 to 100. */
  readonly confidence?: number;
  /** Time for which a refusal asks for nothing more, where it can be read. */
  readonly retryAfterMs?: number;
  /** The text of a time to return that can't be read. */
  readonly unreadRetryAfter?: string;
}

/** Flat list of names and values, as Node gives and takes it. */
export type RawHeaders = string[];

/** What an edge translates for the path. */
export interface Wire {
  /** Undefined when the head lacks what every request has. */
  parseRequest(
    method: string,
    target: string,
    headers: RawHeaders,
  ): RequestFacts | undefined;
  createAttemptHeaders(headers: RawHeaders, facts: AttemptFacts): RawHeaders;
  parseAnswer(headers: RawHeaders): AnswerFacts;
  /** Headers of the endpoint that the caller gets. */
  createAnswerHeaders(headers: RawHeaders): RawHeaders;
  createRefusalHeaders(requestId: string, retryAfterMs?: number): RawHeaders;
}
