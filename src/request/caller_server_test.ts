import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";

import {
  createEmptyState,
  createRefusal,
  isRefusalCode,
} from "../core/index.js";

import { VERSIONS } from "../testbed/workloads.js";

import {
  CHAT_BODY,
  KEY_HEADERS,
  MAX_BODY_BYTES,
  sendRaw,
  startCallerServer,
} from "./caller_fixtures_test.js";

const ANSWER_INFO = { requestId: "r1", version: "small-1", revision: 1 };
const PROBLEM_CONTENT_TYPE = "application/problem+json";

async function readProblem(answer: Response) {
  assert.equal(answer.headers.get("content-type"), PROBLEM_CONTENT_TYPE);
  assert.ok(Number(answer.headers.get("retry-after")) >= 1);
  const problem = (await answer.json()) as Record<string, unknown>;
  assert.equal(problem.status, answer.status);
  assert.equal(problem.requestId, answer.headers.get("hornbeamrill-request"));
  return problem;
}

async function expectRefusal(answer: Response, code: string): Promise<void> {
  const problem = await readProblem(answer);
  assert.deepEqual([problem.code, problem.ran], [code, "no"]);
}

describe("callers' HTTP", { timeout: 60_000 }, () => {
  // A 401 would tell the caller of a valid account not to retry.
  it("refuses as isolated, not as unauthorized, while it has no configuration", async (t) => {
    const staleRefusal = createRefusal("isolated", "No configuration yet");
    const state = createEmptyState();
    const { call } = await startCallerServer(t, { staleRefusal, state });
    await expectRefusal(await call("/v1/models"), "isolated");
  });

  // Each refusal must have a code and report truthfully that nothing ran.
  it("refuses each kind of invalid request with its code", async (t) => {
    const run = () => Promise.reject(new Error("must not run"));
    const { call, chat } = await startCallerServer(t, { run });
    const wrongKey = { authorization: "Bearer wrong" };
    const farmsKey = { authorization: "Bearer key-of-farms" };
    const order = { method: "POST", body: "{}" };
    const longKey = { "idempotency-key": "k".repeat(201) };
    const cases: [Promise<Response>, string][] = [
      [call("/v1/models", { headers: wrongKey }), "unauthorized"],
      [call("/v1/models", { headers: { authorization: "" } }), "unauthorized"],
      [call("/v2/models"), "not-found"],
      [chat("{"), "bad-request"],
      [chat({ messages: [] }), "bad-request"],
      [chat({ ...CHAT_BODY, stream: "yes" }), "bad-request"],
      [chat(CHAT_BODY, { "hornbeamrill-class": "order" }), "unknown-class"],
      [chat(CHAT_BODY, { "hornbeamrill-deadline-ms": "0x10" }), "bad-request"],
      [chat(CHAT_BODY, { "hornbeamrill-quality-target": "2" }), "bad-request"],
      [chat({ ...CHAT_BODY, model: "huge" }), "unknown-model"],
      [chat({ ...CHAT_BODY, model: "constructor" }), "unknown-model"],
      [chat({ ...CHAT_BODY, model: "large-1" }), "version-withdrawn"],
      [chat({ ...CHAT_BODY, model: "medium-1" }, farmsKey), "not-allowed"],
      [call("/services/sawmill/x"), "unknown-service"],
      [call("/services/constructor/x"), "unknown-service"],
      [
        call("/services/order/x", { ...order, headers: farmsKey }),
        "not-allowed",
      ],
      [call("/services/order/x", order), "idempotency-key-required"],
      [
        call("/services/order/x", { ...order, headers: longKey }),
        "bad-request",
      ],
      [chat("x".repeat(MAX_BODY_BYTES + 1)), "body-too-large"],
    ];
    for (const [answer, code] of cases) await expectRefusal(await answer, code);
  });

  it("answers with JSON, server-sent events, the model list and a service's body", async (t) => {
    const { call, chat } = await startCallerServer(t);
    const whole = await chat({ ...CHAT_BODY, model: "small" });
    assert.equal(whole.headers.get("hornbeamrill-version"), "small-1");
    const body = (await whole.json()) as { choices: { message: unknown }[] };
    const message = { role: "assistant", content: "hello" };
    assert.deepEqual(body.choices[0]?.message, message);
    const stream = await (await chat({ ...CHAT_BODY, stream: true })).text();
    assert.match(stream, /"hel".*"lo".*"stop".*data: \[DONE\]\n\n$/s);
    const models = (await (await call("/v1/models")).json()) as {
      data: { id: string }[];
    };
    const names = models.data.map(({ id }) => id);
    const active = VERSIONS.filter((name) => name !== "large-1");
    assert.deepEqual(names, active);
    // The service gets the checked, normalized path and the query.
    const path = "/services/stock_check/a/%2e%2e/b?part=7";
    assert.equal(await (await call(path)).text(), "GET /b?part=7");
    const root = await call("/services/stock_check?part=7");
    assert.equal(await root.text(), "GET /?part=7");
  });

  it("ends a broken stream with an error event, never with [DONE]", async (t) => {
    const { chat } = await startCallerServer(t, {
      run: async (_route, { writer }) => {
        writer.write(ANSWER_INFO, Buffer.from("hel"));
        writer.refuse("r1", createRefusal("outcome-unknown", "cut"));
      },
    });
    const text = await (await chat({ ...CHAT_BODY, stream: true })).text();
    const [, event = ""] = text.split("event: error\ndata: ");
    assert.equal(JSON.parse(event).code, "outcome-unknown");
    assert.ok(!text.includes("[DONE]"));
  });

  it("refuses with the time until a retry, in whole seconds", async (t) => {
    const options = { retryAfterMs: 2_300 };
    const refusal = createRefusal("stopping", "stopping", options);
    const { chat, call } = await startCallerServer(t, { refusal });
    const answer = await chat(CHAT_BODY);
    assert.equal(answer.headers.get("retry-after"), "3");
    await expectRefusal(answer, "stopping");
    await expectRefusal(await call("/healthz"), "stopping");
  });

  // Guards against waiting for the end of an endless body before refusing it.
  it("refuses a body over the limit at once, without a content-length", async (t) => {
    const { port } = await startCallerServer(t);
    const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: ${KEY_HEADERS.authorization}\r\n`;
    const chunk = "x".repeat(MAX_BODY_BYTES + 1);
    const size = chunk.length.toString(16);
    const chunked = `${head}transfer-encoding: chunked\r\n\r\n${size}\r\n${chunk}\r\n`;
    assert.match(
      await sendRaw(port, chunked),
      /^HTTP\/1.1 413 .*body-too-large/s,
    );
    const declared = `${head}content-length: 99999999\r\n\r\nx`;
    assert.match(await sendRaw(port, declared), /^HTTP\/1.1 413 /);
  });

  it("answers invalid HTTP and too large headers with problem details", async (t) => {
    const { port } = await startCallerServer(t);
    const header = `GET /v1/models HTTP/1.1\r\nx: ${"y".repeat(5_000)}\r\n\r\n`;
    for (const [text, status, code] of [
      [header, 431, "headers-too-large"],
      ["GET\r\n\r\n", 400, "bad-request"],
      ["GET // HTTP/1.1\r\nhost: a\r\n\r\n", 400, "bad-request"],
    ] as const) {
      const [head = "", body = ""] = (await sendRaw(port, text)).split(
        "\r\n\r\n",
      );
      assert.match(head, new RegExp(`^HTTP/1.1 ${status} `));
      assert.match(head, /retry-after: 1/i);
      const problem = JSON.parse(body);
      assert.deepEqual([problem.code, problem.ran], [code, "no"]);
      assert.ok(problem.requestId.length > 0);
    }
  });

  it("closes the connection when invalid HTTP follows during an answer", async (t) => {
    const { port } = await startCallerServer(t, {
      run: (_route, { writer, signal }) => {
        writer.write(ANSWER_INFO, Buffer.from("hel"));
        return new Promise((resolve) => {
          signal.addEventListener("abort", () => resolve());
        });
      },
    });
    const body = JSON.stringify({ ...CHAT_BODY, stream: true });
    const text = await sendRaw(
      port,
      `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: ${KEY_HEADERS.authorization}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
      "\0broken\r\n\r\n",
    );
    assert.doesNotMatch(text, /HTTP\/1.1 400/);
  });

  it("aborts the runner's signal when the caller disconnects", async (t) => {
    const { port, loggedEvents } = await startCallerServer(t, {
      run: (_route, { signal }) =>
        new Promise((resolve) => {
          signal.addEventListener("abort", () => {
            loggedEvents.push("aborted");
            resolve();
          });
        }),
    });
    const head = `GET /services/stock_check/x HTTP/1.1\r\nhost: a\r\nauthorization: ${KEY_HEADERS.authorization}\r\n`;
    await sendRaw(port, `${head}\r\n`);
    assert.deepEqual(loggedEvents, ["aborted"]);
    // The body is incomplete, so the request never starts.
    await sendRaw(port, `${head}content-length: 9\r\n\r\nx`);
    assert.deepEqual(loggedEvents, ["aborted", "caller-gone"]);
  });
});

describe("callers' HTTP under fuzz", { timeout: 60_000 }, () => {
  const pathPart = fc.constantFrom(
    "v1",
    "chat",
    "completions",
    "models",
    "services",
    "order",
    "stock_check",
    "..",
    "%2e%2e",
    "%",
    "%zz",
    "",
    "?",
    "#",
    "[",
    "\\",
    "constructor",
    ":80",
  );
  const path = fc
    .array(pathPart, { maxLength: 6 })
    .map((parts) => `/${parts.join("/")}`);
  const headerName = fc.constantFrom(
    "hornbeamrill-class",
    "hornbeamrill-session",
    "hornbeamrill-session-token",
    "hornbeamrill-deadline-ms",
    "hornbeamrill-quality-target",
    "idempotency-key",
    "content-type",
    "authorization",
    "expect",
    "x",
  );
  const headerValue = fc.oneof(
    fc.stringMatching(/^[ -~\u00a0-\u00ff]{0,30}$/),
    fc.constantFrom("1", "-1", "part_match", KEY_HEADERS.authorization),
  );
  const body = fc.oneof(
    fc.json(),
    fc.string(),
    fc
      .record(
        {
          model: fc.oneof(
            fc.string(),
            fc.constantFrom("auto", "small", "__proto__"),
          ),
          messages: fc.array(
            fc.record({ role: fc.string(), content: fc.string() }),
          ),
          stream: fc.oneof(fc.boolean(), fc.string()),
          max_tokens: fc.oneof(fc.integer(), fc.double()),
        },
        { requiredKeys: [] },
      )
      .map((value) => JSON.stringify(value)),
  );
  const request = fc.record({
    method: fc.constantFrom("POST", "GET", "DELETE", "PATCH", "FOO", ""),
    path: fc.oneof(
      path,
      fc.constantFrom("/v1/chat/completions", "/services/order/calls"),
    ),
    headers: fc.array(fc.tuple(headerName, headerValue), { maxLength: 5 }),
    hasApiKey: fc.boolean(),
    body,
  });

  it("gives each request a complete answer or a refusal with a code", async (t) => {
    const { port, loggedEvents } = await startCallerServer(t);
    const property = fc.asyncProperty(request, async (input) => {
      const lines = input.headers.map(([name, value]) => `${name}: ${value}`);
      if (input.hasApiKey)
        lines.unshift(`authorization: ${KEY_HEADERS.authorization}`);
      const head = [
        `${input.method} ${input.path} HTTP/1.1`,
        "host: a",
        "connection: close",
        `content-length: ${Buffer.byteLength(input.body)}`,
        ...lines,
      ].join("\r\n");
      const text = await sendRaw(port, `${head}\r\n\r\n${input.body}`);
      const [responseHead = "", ...rest] = text.split("\r\n\r\n");
      const status = Number(/^HTTP\/1.1 (\d{3}) /.exec(responseHead)?.[1]);
      if (status === 200) return;
      const problem = JSON.parse(rest.join("\r\n\r\n"));
      assert.ok(isRefusalCode(problem.code), text);
      assert.deepEqual([problem.status, problem.ran], [status, "no"]);
      assert.match(responseHead, /retry-after: \d/i);
    });
    await fc.assert(property, {
      numRuns: 600,
      interruptAfterTimeLimit: 20_000,
    });
    assert.ok(!loggedEvents.includes("request-failed"));
  });
});
