/**
 * Bounds the requests that run at the same time on one caller's connection.
 * Callers may send any number behind one another, and each answer waits for
 * those before it.
 */

import type { Socket } from "node:net";
import { pauseReading, startReading } from "../../adapters/http_server.js";
import {
  MAX_RUNNING_PER_CONNECTION,
  MAX_WAITING_REQUESTS,
} from "../../adapters/received/index.js";

interface RequestQueue {
  /** Requests that were read and whose answers are not yet sent. */
  openRequests: number;
  running: number;
  /** Starts each request that waits, oldest first. */
  readonly starters: (() => void)[];
}

/** The place of one request on its connection. */
export interface RequestTurn {
  /** Undefined if the request may run at once. */
  wait(): Promise<void> | undefined;
  /** The request's answer is sent, or can't be; the next one may run. */
  end(): void;
}

export class RequestQueues {
  readonly #queues = new WeakMap<Socket, RequestQueue>();
  #waitingRequests = 0;

  /**
   * Adds a request that was read; no more are read while there are many. There
   * is no turn for one that comes while too many wait on all connections.
   */
  add(socket: Socket): RequestTurn | undefined {
    const queue = this.#getQueue(socket);
    const mayRun = queue.openRequests < MAX_RUNNING_PER_CONNECTION;
    if (!mayRun) {
      pauseReading(socket);
      if (this.#waitingRequests >= MAX_WAITING_REQUESTS) return undefined;
      this.#waitingRequests++;
    }
    queue.openRequests++;
    let isStarted = false;
    return {
      wait: () => {
        isStarted = true;
        if (queue.running < MAX_RUNNING_PER_CONNECTION) {
          queue.running++;
          return undefined;
        }
        return new Promise((resolve) => queue.starters.push(resolve));
      },
      end: () => {
        if (isStarted) startNext(queue);
        if (queue.openRequests > MAX_RUNNING_PER_CONNECTION) {
          this.#waitingRequests--;
        }
        queue.openRequests--;
        if (queue.openRequests === MAX_RUNNING_PER_CONNECTION - 1) {
          startReading(socket);
        }
      },
    };
  }

  /** False while none of the connection's requests had its turn. */
  isRunning(socket: Socket): boolean {
    return this.#getQueue(socket).running > 0;
  }

  #getQueue(socket: Socket): RequestQueue {
    const known = this.#queues.get(socket);
    if (known !== undefined) return known;
    const queue: RequestQueue = {
      openRequests: 0,
      running: 0,
      starters: [],
    };
    this.#queues.set(socket, queue);
    return queue;
  }
}

function startNext(queue: RequestQueue): void {
  const start = queue.starters.shift();
  if (start === undefined) queue.running--;
  else start();
}
