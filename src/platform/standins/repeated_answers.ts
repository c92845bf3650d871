/**
 * The fault of a replica that writes an earlier answer of a kept connection
 * once more. The copy is the earlier answer as it was, so it names the earlier
 * request.
 */

import {
  type OutgoingHttpHeaders,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";

/** When a copy is written. */
export const REPEAT_TIME = {
  /** While the connection has no request. */
  idle: "idle",
  /** After the next request was read, before it runs. */
  beforeRun: "before-run",
  /** In one write with the next answer, ahead of it. */
  withAnswer: "with-answer",
} as const;
export type RepeatTime = (typeof REPEAT_TIME)[keyof typeof REPEAT_TIME];

/** Which answers are repeated. */
export const REPEATED_ANSWER = {
  refusal: "refusal",
  complete: "complete",
} as const;
export type RepeatedAnswer =
  (typeof REPEATED_ANSWER)[keyof typeof REPEATED_ANSWER];

export interface RepeatOptions {
  readonly time: RepeatTime;
  readonly answer: RepeatedAnswer;
}

/** Time between the end of an answer and its copy on the idle connection, ms. */
const IDLE_COPY_DELAY_MS = 3;

interface KeptConnection {
  isIdle: boolean;
  /** The last answer of each kind, as text; removed once it was repeated. */
  readonly answers: Map<RepeatedAnswer, string>;
}

export class RepeatedAnswers {
  /** Copies written so far. */
  copyCount = 0;
  readonly #connections = new WeakMap<Socket, KeptConnection>();
  readonly #getOptions: () => RepeatOptions | undefined;

  constructor(getOptions: () => RepeatOptions | undefined) {
    this.#getOptions = getOptions;
  }

  /** Called with each request, before its answer. */
  startRequest(socket: Socket, response: ServerResponse): void {
    const connection = this.#connections.get(socket) ?? {
      isIdle: false,
      answers: new Map(),
    };
    connection.isIdle = false;
    this.#connections.set(socket, connection);
    response.once("finish", () => {
      connection.isIdle = true;
      setTimeout(() => {
        if (connection.isIdle) this.#writeCopy(socket, REPEAT_TIME.idle);
      }, IDLE_COPY_DELAY_MS);
    });
  }

  /** Keeps an answer, which has to be complete and sent with these values. */
  setAnswer(
    socket: Socket,
    answer: RepeatedAnswer,
    status: number,
    headers: OutgoingHttpHeaders,
    body: string,
  ): void {
    const lines = Object.entries(headers).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    const text = `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${lines.join("")}\r\n${body}`;
    this.#connections.get(socket)?.answers.set(answer, text);
  }

  writeBeforeRun(socket: Socket): void {
    this.#writeCopy(socket, REPEAT_TIME.beforeRun);
  }

  /** What is written until the next tick follows the copy in the same write. */
  writeWithAnswer(socket: Socket): void {
    this.#writeCopy(socket, REPEAT_TIME.withAnswer);
  }

  #writeCopy(socket: Socket, time: RepeatTime): void {
    const options = this.#getOptions();
    const answers = this.#connections.get(socket)?.answers;
    if (options?.time !== time || socket.destroyed) return;
    const text = answers?.get(options.answer);
    if (text === undefined) return;
    answers?.delete(options.answer);
    this.copyCount++;
    if (time === REPEAT_TIME.withAnswer) {
      socket.cork();
      setImmediate(() => socket.uncork());
    }
    socket.write(text);
  }
}
