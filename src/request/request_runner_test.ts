import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { describe, it } from "node:test";
import { okAsync } from "neverthrow";
import { createMetrics, type Logger } from "../adapters/index.js";
import {
  createEmptyState,
  type RouteRequest,
  type RouterAction,
  type RouterEvent,
} from "../core/index.js";
import { type DispatchRequest, Frame, type Receipt } from "../schema/index.js";
import type { AnswerWriter } from "./answer_writers.js";
import type { RequestPayload } from "./caller_requests.js";
import { RequestRunner, type RequestRunnerOptions } from "./request_runner.js";

const NEVER_ABORTED = new AbortController().signal;

const ROUTE: RouteRequest = {
  id: "r1",
  account: "pumps",
  requestClass: "chat",
  kind: "model",
  service: "",
  idempotent: true,
  priority: "interactive",
  deadlineAtMs: Number.POSITIVE_INFINITY,
  candidates: ["small-1", "large-1"],
  promptTokens: 10,
};

const PAYLOAD: RequestPayload = {
  method: "POST",
  path: "/v1/chat/completions",
  body: Buffer.from("{}"),
  contentType: "application/json",
  bodySha256: "",
  stream: true,
  revision: 1,
};

function createDispatch(attempt: number, version: string): RouterAction {
  const isLast = attempt === 2;
  return {
    type: "dispatch",
    requestId: "r1",
    attempt,
    endpoint: `engine-${attempt}`,
    version,
    remainingMs: 5_000,
    final: isLast,
  };
}

/** Decides like a router: small-1, a judge that rejects, then large-1. */
function decide(event: RouterEvent): RouterAction[] {
  const requestId = "r1";
  if (event.type === "submit") return [createDispatch(1, "small-1")];
  if (event.type === "judged") return [createDispatch(2, "large-1")];
  if (event.type !== "completed") return [];
  return event.attempt === 1
    ? [{ type: "judge", requestId, attempt: 1, version: "small-1" }]
    : [{ type: "answer", requestId, attempt: 2 }];
}

/** Answers like a gate, with the name of the version as the text. */
function dispatch(request: DispatchRequest): EventEmitter {
  const { requestId, attempt, version } = request;
  const stream = Object.assign(new EventEmitter(), { cancel: () => {} });
  const chunk = { data: Buffer.from(version) };
  const end = { status: 200, promptTokens: 100, outputTokens: 900, chunks: 1 };
  setImmediate(() => {
    const frame = { requestId, attempt };
    stream.emit("data", Frame.fromPartial({ ...frame, sequence: 0, chunk }));
    stream.emit("data", Frame.fromPartial({ ...frame, sequence: 1, end }));
  });
  return stream;
}

const LOG: Logger = { debug() {}, info() {}, warn() {}, error() {} };

function createRunner(receipts: Receipt[]): RequestRunner {
  const state = createEmptyState();
  for (const [name, costPerKiloToken] of [
    ["small-1", 0.1],
    ["large-1", 1],
  ] as const) {
    const model = name;
    state.versions[name] = { name, model, state: "active", costPerKiloToken };
  }
  const options = {
    entry: "entry-1",
    dataCentre: "dc1",
    router: { handle: decide },
    directory: {
      getClient: () => ({ dispatch }),
      getStatus: () => undefined,
      listStatus: () => [],
    },
    config: { state },
    ledger: {
      add: async (receipt: Receipt) => void receipts.push(receipt),
    },
    ratings: { judge: () => okAsync(false) },
    log: LOG,
    metrics: createMetrics(
      undefined,
      { name: "entry-1", role: "entry", dataCentre: "dc1" },
      NEVER_ABORTED,
    ),
    now: () => performance.now(),
    onHold: () => {},
    onOutcome: () => {},
  };
  // Each collaborator has only the members that a cascade uses.
  return new RequestRunner(
    options as unknown as RequestRunnerOptions,
    NEVER_ABORTED,
  );
}

describe("a request that runs as a cascade", () => {
  it("gives one receipt with every step, and sends only the last step's answer", async () => {
    const receipts: Receipt[] = [];
    let text = "";
    const writer: AnswerWriter = {
      write: (_info, chunk) => {
        text += Buffer.from(chunk).toString();
      },
      finish: (_info, _end, unsent) => {
        text += Buffer.concat(unsent).toString();
      },
      refuse: (_id, refusal) => assert.fail(refusal.detail),
    };
    const options = {
      payload: PAYLOAD,
      session: {},
      writer,
      signal: NEVER_ABORTED,
    };
    await createRunner(receipts).run(ROUTE, options);
    assert.equal(text, "large-1");
    assert.equal(receipts.length, 1);
    const versions = receipts[0]?.steps.map((step) => step.version);
    assert.deepEqual(versions, ["small-1", "large-1"]);
    assert.equal(receipts[0]?.cost, 0.1 + 1);
  });
});
