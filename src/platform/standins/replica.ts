/**
 * Stand-in for a replica: plain answers and streams of events, with the
 * faults that the router has to bear. It records each request that it runs.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

export interface ReplicaRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Steady clock, ms. */
  readonly startedAtMs: number;
  /** Events that it had sent when the run ended. */
  events: number;
  end: "running" | "complete" | "cut" | "left";
}

/** A request that came, also one that is refused. */
export interface ReplicaArrival {
  readonly requestId: string;
  /** Steady clock, ms. */
  readonly atMs: number;
  /** The answer says that the replica leaves. */
  readonly isLeaving: boolean;
  /** Time to return that its refusal names, ms. */
  readonly retryAfterMs?: number;
}

export interface ReplicaOptions {
  readonly id: string;
  /** Events of a stream. */
  events?: number;
  /** Time before the answer and between events, ms. */
  delayMs?: number;
  /** Confidence by model. */
  confidence?: Readonly<Record<string, number>>;
  /** Refuses as full; the request does not run. */
  isFull?: boolean;
  /** Text of the time to return that a refusal as full names. */
  retryAfter?: string;
  /** Says in each answer that it leaves. */
  isLeaving?: boolean;
  /** Answers with a failure after the run. */
  isFailing?: boolean;
  /** Runs the request and never answers. */
  isMute?: boolean;
  /** Breaks a stream after this many events, or an answer within its body. */
  cutAfter?: number;
  /** Sends the first half of a plain answer, and the rest never. */
  stallsInBody?: boolean;
  /** Bytes of a plain answer. */
  plainBytes?: number;
  /** Puts the answer to another request before its own. */
  answersCrossed?: boolean;
}

/** Service of the replicas. */
export const SERVICE = "svc";

/** The record by which a replica is registered in the store. */
export function createReplicaSpec(port: number, fields: object = {}) {
  return {
    service: SERVICE,
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

/** Body of every whole plain answer. */
export const PLAIN_BODY = "0123456789".repeat(20);

export class ReplicaStandin {
  readonly options: ReplicaOptions;
  readonly runs: ReplicaRun[] = [];
  readonly arrivals: ReplicaArrival[] = [];
  readonly #server: Server;

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

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { options } = this;
    const chunks: Buffer[] = [];
    request.on("error", () => undefined);
    for await (const chunk of request) chunks.push(chunk as Buffer);
    this.#recordArrival(String(request.headers["attempt-id"]));
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== options.id) {
      response.writeHead(421, {
        "Replica-Id": options.id,
        "Not-Executed": "1",
        ...this.#leavingHead(),
      });
      response.end();
      return;
    }
    if (options.isFull) {
      const { retryAfter } = options;
      response.writeHead(503, {
        "Not-Executed": "1",
        ...(retryAfter === undefined ? {} : { "Retry-After": retryAfter }),
        ...this.#leavingHead(),
      });
      response.end();
      return;
    }
    const run = this.#record(request, Buffer.concat(chunks).toString());
    response.once("close", () => {
      if (run.end === "running") run.end = "left";
    });
    if (options.isMute) return;
    await this.#delay();
    if (options.isFailing) {
      response.writeHead(500, this.#head(run));
      response.end("failed");
      run.end = "complete";
      return;
    }
    const isStream = run.path.includes("/stream");
    if (isStream) await this.#stream(run, response);
    else this.#sendPlain(run, response);
  }

  #recordArrival(requestId: string): void {
    const { isFull, isLeaving = false, retryAfter } = this.options;
    this.arrivals.push({
      requestId,
      atMs: performance.now(),
      isLeaving,
      retryAfterMs:
        isFull && retryAfter !== undefined
          ? 1_000 * Number(retryAfter)
          : undefined,
    });
  }

  #record(request: IncomingMessage, body: string): ReplicaRun {
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
      events: 0,
      end: "running",
    };
    this.runs.push(run);
    return run;
  }

  #head(run: ReplicaRun): Record<string, string> {
    const confidence = this.options.confidence?.[run.headers.model ?? ""];
    return {
      "Attempt-Id": this.options.answersCrossed ? "another" : run.requestId,
      "Server-Stamp": `stamp-${this.options.id}`,
      "Replica-Load": "1,0,8",
      ...(confidence === undefined ? {} : { Confidence: String(confidence) }),
      ...this.#leavingHead(),
    };
  }

  #leavingHead(): Record<string, string> {
    return this.options.isLeaving ? { "Server-Leaving": "1" } : {};
  }

  #sendPlain(run: ReplicaRun, response: ServerResponse): void {
    const { plainBytes, stallsInBody } = this.options;
    const body = plainBytes === undefined ? PLAIN_BODY : "x".repeat(plainBytes);
    const { length } = body;
    response.writeHead(200, { ...this.#head(run), "Content-Length": length });
    if (stallsInBody) {
      response.write(body.slice(0, length / 2));
      return;
    }
    if (this.options.cutAfter !== undefined) {
      response.write(body.slice(0, length / 2), () => response.destroy());
      run.end = "cut";
      return;
    }
    response.end(body);
    run.end = "complete";
  }

  async #stream(run: ReplicaRun, response: ServerResponse): Promise<void> {
    const { events = 5, cutAfter } = this.options;
    const first = Number(run.headers["last-event-id"] ?? -1) + 1;
    response.writeHead(200, {
      ...this.#head(run),
      "Content-Type": "text/event-stream",
    });
    for (let id = first; id < events; id++) {
      if (run.events === cutAfter) {
        // Breaks off in the middle of an event.
        response.write(`id: ${id}\nda`, () => response.destroy());
        run.end = "cut";
        return;
      }
      response.write(`id: ${id}\ndata: piece ${id}\n\n`);
      run.events++;
      await this.#delay();
      if (run.end !== "running") return;
    }
    response.end();
    run.end = "complete";
  }

  #delay(): Promise<void> {
    const { delayMs = 0 } = this.options;
    return new Promise((resolve) => setTimeout(resolve, delayMs));
  }
}
