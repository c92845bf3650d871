import assert from "node:assert/strict";
import { getEventListeners } from "node:events";
import { describe, it, type TestContext } from "node:test";
import { Server, ServerCredentials, status } from "@grpc/grpc-js";
import { openClient } from "../adapters/index.js";
import {
  DispatchRequest,
  Frame,
  GateClient,
  GateService,
} from "../schema/index.js";
import { AttemptRunner, type AttemptRunnerOptions } from "./attempt_runner.js";
import { AttemptCall } from "./dispatch.js";
import type { PendingRequest } from "./pending_request.js";
import { createAttempt } from "./request_attempt.js";

type Part = Partial<Frame> & { break?: true };

const chunk = (sequence: number, text: string): Part => ({
  sequence,
  chunk: { data: Buffer.from(text) },
});
const end = (sequence: number, chunks: number): Part => ({
  sequence,
  end: Frame.fromPartial({ end: { status: 200, chunks } }).end,
});

const BREAK = Object.assign(new Error("cut"), { code: status.UNAVAILABLE });

/** A gate that answers dispatch, then each resume, with the next script. */
async function startGate(t: TestContext, scripts: Part[][]) {
  const resumes: number[] = [];
  const answer = (call: {
    write(frame: Frame): unknown;
    end(): unknown;
    emit(event: "error", error: Error): unknown;
  }) => {
    const parts = scripts.shift() ?? [];
    for (const part of parts) {
      if (part.break) continue;
      const frame = { requestId: "r1", attempt: 1, ...part };
      call.write(Frame.fromPartial(frame));
    }
    if (parts.at(-1)?.break) call.emit("error", BREAK);
    else if (parts.length > 0) call.end();
  };
  const server = new Server();
  server.addService(GateService, {
    dispatch: answer,
    resume: (
      call: { request: { fromSequence: number } } & Parameters<
        typeof answer
      >[0],
    ) => {
      resumes.push(call.request.fromSequence);
      answer(call);
    },
  });
  const port = await new Promise<number>((resolve, reject) =>
    server.bindAsync(
      "127.0.0.1:0",
      ServerCredentials.createInsecure(),
      (error, bound) => (error ? reject(error) : resolve(bound)),
    ),
  );
  const controller = new AbortController();
  t.after(() => {
    controller.abort();
    server.forceShutdown();
  });
  const client = openClient(GateClient, `127.0.0.1:${port}`, controller.signal);
  return { client, resumes };
}

/** Dispatches an attempt; gives its chunks and how it ended. */
async function dispatch(client: GateClient) {
  let text = "";
  const outcome = await new Promise<string>((resolve) => {
    const request = DispatchRequest.fromPartial({
      requestId: "r1",
      attempt: 1,
    });
    const call = new AttemptCall(client, request, {
      signal: new AbortController().signal,
      handlers: {
        onChunk: (data) => {
          text += Buffer.from(data).toString();
        },
        onEnd: () => resolve("ended"),
        onRefusal: ({ code, ran, detail }) =>
          resolve(`${code} ${ran} ${detail}`),
      },
    });
    call.start();
  });
  return { text, outcome };
}

describe("dispatch of an attempt", { timeout: 30_000 }, () => {
  const cases: [string, Part[][], string, string, number[]][] = [
    [
      "gives a whole answer",
      [[chunk(0, "a"), chunk(1, "b"), end(2, 2)]],
      "ab",
      "ended",
      [],
    ],
    // Guards against text of another request in the answer.
    [
      "drops frames of another attempt or request",
      [
        [
          { ...chunk(0, "x"), attempt: 2 },
          { ...chunk(0, "y"), requestId: "r2" },
          chunk(0, "a"),
          end(1, 1),
        ],
      ],
      "a",
      "ended",
      [],
    ],
    [
      "does not pass an answer with a missing frame for a whole one",
      [[chunk(0, "a"), chunk(2, "c"), end(3, 2)]],
      "a",
      "outcome-unknown unknown Frame 1 is missing",
      [],
    ],
    [
      "does not pass an answer with a wrong chunk count for a whole one",
      [[chunk(0, "a"), end(1, 2)]],
      "a",
      "outcome-unknown unknown Got 1 of 2 chunks",
      [],
    ],
    [
      "resumes after a break, and takes no frame twice",
      [
        [chunk(0, "a"), { break: true }],
        [chunk(0, "a"), chunk(1, "b"), end(2, 2)],
      ],
      "ab",
      "ended",
      [1],
    ],
    [
      "gives up as unknown when each resume ends without the last frame",
      [[chunk(0, "a")], [chunk(1, "b")], [chunk(2, "c")]],
      "abc",
      "outcome-unknown unknown Stream ended without its last frame",
      [1, 2],
    ],
    [
      "passes on the gate's refusal, and an unknown code as unknown",
      [
        [
          {
            sequence: 0,
            refusal: {
              code: "new-code",
              ran: "no",
              detail: "d",
              retryAfterMs: 5,
              revision: 0,
            },
          },
        ],
      ],
      "",
      "outcome-unknown no d",
      [],
    ],
  ];
  for (const [name, scripts, text, outcome, resumes] of cases) {
    it(name, async (t) => {
      const gate = await startGate(t, scripts);
      assert.deepEqual(await dispatch(gate.client), { text, outcome });
      assert.deepEqual(gate.resumes, resumes);
    });
  }

  // Each cancelled attempt left a listener with its request's body.
  it("leaves no listener on the process's signal when it is cancelled", async (t) => {
    const { client } = await startGate(t, [[]]);
    const { signal } = new AbortController();
    const directory = { getClient: () => client, getStatus: () => undefined };
    const options = {
      entry: "e",
      now: () => 0,
      config: { state: { revision: 1 } },
      directory,
    } as unknown as AttemptRunnerOptions;
    const route = { id: "r1", kind: "service", deadlineAtMs: 1_000 };
    const pending = { route, work: { body: Buffer.alloc(0) } };
    const attempt = createAttempt(pending.route as PendingRequest["route"], {
      type: "dispatch",
      requestId: "r1",
      attempt: 1,
      endpoint: "p",
      version: "",
      remainingMs: 1_000,
      final: true,
    });
    const runner = new AttemptRunner(options, signal);
    void runner.run(pending as PendingRequest, attempt, () => {});
    assert.equal(getEventListeners(signal, "abort").length, 1);
    attempt.controller.abort();
    assert.equal(getEventListeners(signal, "abort").length, 0);
  });
});
