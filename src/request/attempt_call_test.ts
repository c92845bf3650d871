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
import { AttemptCall } from "./attempt_call.js";
import { AttemptRunner, type AttemptRunnerOptions } from "./attempt_runner.js";
import type { PendingRequest } from "./pending_request.js";
import { createAttempt } from "./request_attempt.js";

type ScriptedFrame = Partial<Frame> & { break?: true };

const chunk = (sequence: number, text: string): ScriptedFrame => ({
  sequence,
  chunk: { data: Buffer.from(text) },
});
const end = (sequence: number, chunks: number): ScriptedFrame => ({
  sequence,
  end: Frame.fromPartial({ end: { status: 200, chunks } }).end,
});

const BREAK_ERROR = Object.assign(new Error("cut"), {
  code: status.UNAVAILABLE,
});

/** Starts a gate that answers each dispatch and resume with the next script. */
async function startGate(t: TestContext, scripts: ScriptedFrame[][]) {
  const resumes: number[] = [];
  const sendNextScript = (call: {
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
    if (parts.at(-1)?.break) call.emit("error", BREAK_ERROR);
    else if (parts.length > 0) call.end();
  };
  const server = new Server();
  server.addService(GateService, {
    dispatch: sendNextScript,
    resume: (
      call: { request: { fromSequence: number } } & Parameters<
        typeof sendNextScript
      >[0],
    ) => {
      resumes.push(call.request.fromSequence);
      sendNextScript(call);
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

/** Dispatches an attempt; returns its text and how it ended. */
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

describe("AttemptCall", { timeout: 30_000 }, () => {
  const cases: [string, ScriptedFrame[][], string, string, number[]][] = [
    [
      "passes on a complete answer",
      [[chunk(0, "a"), chunk(1, "b"), end(2, 2)]],
      "ab",
      "ended",
      [],
    ],
    // Guards against an answer with text of another request.
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
      "reports an answer with a missing frame as unknown, not as complete",
      [[chunk(0, "a"), chunk(2, "c"), end(3, 2)]],
      "a",
      "outcome-unknown unknown Frame 1 is missing",
      [],
    ],
    [
      "reports an answer with a wrong chunk count as unknown, not as complete",
      [[chunk(0, "a"), end(1, 2)]],
      "a",
      "outcome-unknown unknown Got 1 of 2 chunks",
      [],
    ],
    [
      "resumes a broken stream and ignores repeated frames",
      [
        [chunk(0, "a"), { break: true }],
        [chunk(0, "a"), chunk(1, "b"), end(2, 2)],
      ],
      "ab",
      "ended",
      [1],
    ],
    [
      "reports the outcome as unknown when each resume lacks the last frame",
      [[chunk(0, "a")], [chunk(1, "b")], [chunk(2, "c")]],
      "abc",
      "outcome-unknown unknown Stream ended without its last frame",
      [1, 2],
    ],
    [
      "passes on the gate's refusal, with an unknown code as outcome-unknown",
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

  // Guards against a memory leak: each cancelled attempt left a listener that
  // kept its request's body.
  it("leaves no listener on the process's signal after a cancel", async (t) => {
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
    const pending = { route, payload: { body: Buffer.alloc(0) } };
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
