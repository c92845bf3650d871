/**
 * Stand-in for a replica: plain answers and event streams, with the faults
 * that the router has to handle. It records each request that it runs.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as pauseMs } from "node:timers/promises";
import { BODY_CRASH_TIME, type BodyCrashTime } from "./body_crash.js";
import {
  ENDLESS_BYTES,
  type EndlessBytes,
  writeEndlessBytes,
} from "./endless_bytes.js";
import {
  REPEATED_ANSWER,
  RepeatedAnswers,
  type RepeatOptions,
} from "./repeated_answers.js";
import {
  isSilent,
  SILENCE_PLACE,
  type Silence,
  type SilencePlace,
  waitForEnd,
} from "./silence.js";

export interface ReplicaRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Steady clock, ms. */
  readonly startedAtMs: number;
  /** Events sent so far. */
  sentEvents: number;
  /** "cut" by the replica itself, "left" when the caller disconnected. */
  state: "running" | "complete" | "cut" | "left";
  /** A silence has delayed the answer. */
  wasSilent?: boolean;
  /** When the answer was complete or its connection had ended. */
  endedAtMs?: number;
}

/** A request that arrived, also one that was refused. */
export interface ReplicaArrival {
  readonly requestId: string;
  /** Steady clock, ms. */
  readonly atMs: number;
  /** The answer announces that the replica shuts down. */
  readonly isLeaving: boolean;
  /** Delay before a retry that the refusal asks for. */
  readonly retryAfterMs?: number;
  /** Requests per second from all entries that the answer asks for. */
  readonly limitPerSecond?: number;
  /** Ids of the prompt's parts but the last one. */
  readonly sharedParts: readonly string[];
}

/** A pause of a sound replica within each of its answers. */
export interface AnswerPause {
  readonly ms: number;
  readonly beforeHead?: boolean;
  /** Events of a stream after which it pauses. */
  readonly afterEvents?: number;
  /** Pauses in the middle of a plain answer's body. */
  readonly inBody?: boolean;
}

export interface ReplicaOptions {
  readonly id: string;
  /** Number of events in a stream. */
  streamEvents?: number;
  /** Delay before the answer and between events. */
  delayMs?: number;
  /** Confidence by model. */
  confidence?: Readonly<Record<string, number>>;
  /** Refuses every request for lack of capacity, without running it. */
  isFull?: boolean;
  /** Refuses requests while it works on so many. */
  slots?: number;
  /** Seconds, as text, after which a refusal due to `isFull` allows a retry. */
  retryAfter?: string;
  /** Announces in each answer that it shuts down. */
  isLeaving?: boolean;
  /** Requests per second, as text, that it takes from all entries together. */
  limit?: string;
  /** Runs the request and answers with `failureStatus`. */
  isFailing?: boolean;
  /** 500 unless set. */
  failureStatus?: number;
  /** Runs the request and never answers. */
  neverAnswers?: boolean;
  /**
   * Closes the connection after this many events of a stream, or, whatever
   * the number, in the middle of a plain answer's body.
   */
  cutAfterEvents?: number;
  /** Pauses once within each answer, then goes on. */
  pause?: AnswerPause;
  /** Closes the connection of a request that it runs, without an answer. */
  breaksOffBeforeHead?: boolean;
  /** Sends only the first half of a plain answer and keeps it open. */
  stallsInBody?: boolean;
  /** Size of a plain answer. */
  plainAnswerBytes?: number;
  /** Names another request in the answer, as if two were swapped. */
  sendsWrongRequestId?: boolean;
  /** Writes earlier answers of a kept connection once more. */
  repeats?: RepeatOptions;
  /** Time for which it works on a body, besides `delayMs`. */
  getWorkMs?: (body: string) => number;
  /** Sends nothing until a given time, then goes on. */
  silence?: Silence;
  /** Ends as soon as it begins an answer to a prompt with one of these parts. */
  crashesOn?: ReadonlySet<string>;
  /** Ends as soon as it begins to run such a request. */
  crashesOnRequest?: (run: Pick<ReplicaRun, "path" | "body">) => boolean;
  /** Ends before the head of an answer instead of after it. */
  crashesBeforeHead?: boolean;
  /** Called when it has ended for one of these reasons. */
  onCrash?: (sharedParts: readonly string[]) => void;
  /** Ends when it begins to run a request with one of these bodies. */
  crashesOnBody?: ReadonlyMap<string, BodyCrashTime>;
  /** Called when it has ended for that reason. */
  onBodyCrash?: (body: string) => void;
  /** Runs the request, then resets its connection in place of an answer. */
  losesAnswers?: boolean;
  /** Runs the request, unless these refuse it, and sends them as its answer. */
  endlessBytes?: EndlessBytes;
}

/** Header that passes through a proxy and names the request that ran. */
export const RUN_ID_HEADER = "Run-Id";

/** Name of the service that every replica provides. */
export const REPLICA_SERVICE = "svc";

/** The record by which a replica is registered in the store. */
export function createReplicaSpec(port: number, fields: object = {}) {
  return {
    service: REPLICA_SERVICE,
    addr: `127.0.0.1:${port}`,
    zone: "dc1",
    version: "v1",
    slots: 8,
    state: "ready",
    cold_left_ms: 0,
    seq: 1,
    ...fields,
  };
}

/** Body of a complete plain answer, unless `plainAnswerBytes` is set. */
export const PLAIN_ANSWER_BODY = "0123456789".repeat(20);

/** Pause between two blocks of endless bytes, ms. */
const BLOCK_PAUSE_MS = 5;
/** Time between the begin of a run and the crash that it leads to, ms. */
const CRASH_DELAY_MS = 20;

function listSharedParts({ headers }: IncomingMessage): string[] {
  return String(headers["prefix-hash"] ?? "")
    .split(",")
    .slice(0, -1)
    .map((item) => item.trim().split(":")[0] ?? "");
}

export class ReplicaStandin {
  readonly options: ReplicaOptions;
  readonly runs: ReplicaRun[] = [];
  readonly arrivals: ReplicaArrival[] = [];
  readonly #server: Server;
  readonly #repeated = new RepeatedAnswers(() => this.options.repeats);
  #workCount = 0;
  #isCrashing = false;

  constructor(options: ReplicaOptions) {
    this.options = options;
    this.#server = createServer((request, response) => {
      void this.#answer(request, response);
    });
  }

  async start(port = 0): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", resolve),
    );
    return (this.#server.address() as AddressInfo).port;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Answers that were written once more. */
  get copyCount(): number {
    return this.#repeated.copyCount;
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { options } = this;
    const { socket } = request;
    this.#repeated.startRequest(socket, response);
    const chunks: Buffer[] = [];
    request.on("error", () => undefined);
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const sharedParts = listSharedParts(request);
    this.#recordArrival(String(request.headers["attempt-id"]), sharedParts);
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== options.id) {
      this.#refuse(request, response, 421, { "Replica-Id": options.id });
      return;
    }
    const { isFull, retryAfter, slots = Number.POSITIVE_INFINITY } = options;
    if (isFull || this.#workCount >= slots) {
      const hasDelay = isFull && retryAfter !== undefined;
      const fields = hasDelay ? [["Retry-After", retryAfter]] : [];
      this.#refuse(request, response, 503, Object.fromEntries(fields));
      return;
    }
    if (options.endlessBytes === ENDLESS_BYTES.refusedInSmallChunks) {
      this.#sendEndlessBytes(request, options.endlessBytes);
      return;
    }
    this.#repeated.writeBeforeRun(socket);
    const run = this.#recordRun(request, Buffer.concat(chunks).toString());
    // No further event comes once the caller has left.
    if (!response.destroyed) {
      this.#workCount++;
      response.once("close", () => this.#workCount--);
    }
    response.once("close", () => {
      if (run.state === "running") run.state = "left";
      run.endedAtMs = performance.now();
    });
    if (response.destroyed) run.endedAtMs = performance.now();
    const crashTime = options.crashesOnBody?.get(run.body);
    if (crashTime !== undefined) {
      this.#crashOnBody(run, response, crashTime);
      return;
    }
    if (options.neverAnswers) return;
    if (options.endlessBytes !== undefined) {
      run.state = "cut";
      this.#sendEndlessBytes(request, options.endlessBytes);
      return;
    }
    await this.#delay(options.getWorkMs?.(run.body));
    if (options.pause?.beforeHead) await pauseMs(options.pause.ms);
    if (options.breaksOffBeforeHead) {
      response.destroy();
      run.state = "cut";
      return;
    }
    await this.#waitWhileSilent(run, SILENCE_PLACE.beforeHead);
    this.#repeated.writeWithAnswer(socket);
    if (options.losesAnswers) {
      run.state = "cut";
      socket.resetAndDestroy();
      return;
    }
    const hasBadPart = sharedParts.some((part) => options.crashesOn?.has(part));
    if (hasBadPart || options.crashesOnRequest?.(run)) {
      this.#crash(run, response, sharedParts);
      return;
    }
    if (options.isFailing) {
      const { failureStatus = 500 } = options;
      response.writeHead(failureStatus, this.#createHeaders(run));
      response.end("failed");
      run.state = "complete";
      return;
    }
    const isStream = run.path.includes("/stream");
    if (isStream) await this.#stream(run, response);
    else this.#sendPlain(run, response);
  }

  #sendEndlessBytes(request: IncomingMessage, kind: EndlessBytes): void {
    const requestId = String(request.headers["attempt-id"]);
    const options = { kind, requestId, pauseMs: BLOCK_PAUSE_MS };
    writeEndlessBytes(request.socket, options);
  }

  #refuse(
    request: IncomingMessage,
    response: ServerResponse,
    status: number,
    fields: Readonly<Record<string, string>>,
  ): void {
    const headers = {
      "Attempt-Id": String(request.headers["attempt-id"]),
      "Not-Executed": "1",
      "Content-Length": "0",
      ...fields,
      ...this.#createAvailabilityHeaders(),
    };
    response.writeHead(status, headers);
    response.end();
    const { refusal } = REPEATED_ANSWER;
    this.#repeated.setAnswer(request.socket, refusal, status, headers, "");
  }

  /** Sends the head of the answer, if any, then breaks all connections. */
  #crash(
    run: ReplicaRun,
    response: ServerResponse,
    sharedParts: readonly string[],
  ): void {
    if (!this.options.crashesBeforeHead) {
      response.writeHead(200, this.#createHeaders(run));
      response.flushHeaders();
    }
    run.state = "cut";
    if (this.#isCrashing) return;
    this.#isCrashing = true;
    setTimeout(() => {
      this.#isCrashing = false;
      // A silent run may go on after its replica has ended.
      if (!this.#server.listening) return;
      this.close();
      this.options.onCrash?.(sharedParts);
    }, CRASH_DELAY_MS);
  }

  #crashOnBody(
    run: ReplicaRun,
    response: ServerResponse,
    time: BodyCrashTime,
  ): void {
    if (time === BODY_CRASH_TIME.afterHead) {
      response.writeHead(200, this.#createHeaders(run));
      response.flushHeaders();
    }
    run.state = "cut";
    setTimeout(() => {
      this.close();
      this.options.onBodyCrash?.(run.body);
    }, CRASH_DELAY_MS);
  }

  #recordArrival(requestId: string, sharedParts: readonly string[]): void {
    const { isFull, isLeaving = false, retryAfter, limit } = this.options;
    this.arrivals.push({
      requestId,
      atMs: performance.now(),
      isLeaving,
      retryAfterMs:
        isFull && retryAfter !== undefined
          ? 1_000 * Number(retryAfter)
          : undefined,
      limitPerSecond: limit === undefined ? undefined : Number(limit),
      sharedParts,
    });
  }

  #recordRun(request: IncomingMessage, body: string): ReplicaRun {
    const headers = Object.fromEntries(
      Object.entries(request.headers).map(([name, value]) => [
        name,
        String(value),
      ]),
    );
    const run: ReplicaRun = {
      requestId: headers["attempt-id"] ?? "",
      method: request.method ?? "",
      path: request.url ?? "",
      headers,
      body,
      startedAtMs: performance.now(),
      sentEvents: 0,
      state: "running",
    };
    this.runs.push(run);
    return run;
  }

  #createHeaders(run: ReplicaRun): Record<string, string> {
    const confidence = this.options.confidence?.[run.headers.model ?? ""];
    return {
      "Attempt-Id": this.options.sendsWrongRequestId
        ? "another"
        : run.requestId,
      "Server-Stamp": `stamp-${this.options.id}`,
      [RUN_ID_HEADER]: run.requestId,
      "Replica-Load": "1,0,8",
      ...(confidence === undefined ? {} : { Confidence: String(confidence) }),
      ...this.#createAvailabilityHeaders(),
    };
  }

  #createAvailabilityHeaders(): Record<string, string> {
    const { isLeaving, limit } = this.options;
    return {
      ...(isLeaving ? { "Server-Leaving": "1" } : {}),
      ...(limit === undefined ? {} : { "Server-Limit": limit }),
    };
  }

  #sendPlain(run: ReplicaRun, response: ServerResponse): void {
    const { plainAnswerBytes, stallsInBody, pause, silence } = this.options;
    const body =
      plainAnswerBytes === undefined
        ? PLAIN_ANSWER_BODY
        : "x".repeat(plainAnswerBytes);
    const { length } = body;
    const headers = { ...this.#createHeaders(run), "Content-Length": length };
    response.writeHead(200, headers);
    if (stallsInBody) {
      response.write(body.slice(0, length / 2));
      return;
    }
    if (this.options.cutAfterEvents !== undefined) {
      response.write(body.slice(0, length / 2), () => response.destroy());
      run.state = "cut";
      return;
    }
    if (pause?.inBody || isSilent(silence, SILENCE_PLACE.inBody)) {
      void this.#sendHalves(run, response, body);
      return;
    }
    // The response has no socket once its caller has left.
    const { socket } = response;
    response.end(body);
    run.state = "complete";
    if (socket === null) return;
    const { complete } = REPEATED_ANSWER;
    this.#repeated.setAnswer(socket, complete, 200, headers, body);
  }

  async #sendHalves(
    run: ReplicaRun,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const half = body.length / 2;
    response.write(body.slice(0, half));
    await pauseMs(this.options.pause?.ms ?? 0);
    await this.#waitWhileSilent(run, SILENCE_PLACE.inBody);
    if (run.state !== "running") return;
    response.end(body.slice(half));
    run.state = "complete";
  }

  async #stream(run: ReplicaRun, response: ServerResponse): Promise<void> {
    const { streamEvents = 5, cutAfterEvents } = this.options;
    const firstId = Number(run.headers["last-event-id"] ?? -1) + 1;
    response.writeHead(200, {
      ...this.#createHeaders(run),
      "Content-Type": "text/event-stream",
    });
    for (let id = firstId; id < streamEvents; id++) {
      if (run.sentEvents === cutAfterEvents) {
        // Closes the connection in the middle of an event.
        response.write(`id: ${id}\nda`, () => response.destroy());
        run.state = "cut";
        return;
      }
      response.write(`id: ${id}\ndata: piece ${id}\n\n`);
      run.sentEvents++;
      const { pause } = this.options;
      if (pause?.afterEvents === run.sentEvents) await pauseMs(pause.ms);
      await this.#delay();
      await this.#waitWhileSilent(run, SILENCE_PLACE.inStream);
      if (run.state !== "running") return;
    }
    response.end();
    run.state = "complete";
  }

  async #waitWhileSilent(run: ReplicaRun, place: SilencePlace): Promise<void> {
    const { silence } = this.options;
    if (!isSilent(silence, place)) return;
    run.wasSilent = true;
    await waitForEnd(silence);
  }

  #delay(workMs = 0): Promise<void> {
    return pauseMs((this.options.delayMs ?? 0) + workMs);
  }
}
