import assert from "node:assert/strict";
import { connect, createServer, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  type Answer,
  API_KEY,
  createConfiguration,
  HOST,
  TestSystem,
} from "./entry_fixtures_test.js";
import { createReplicaSpec } from "./standins/replica.js";

/** What an endpoint writes before it closes the connection. */
type EndpointAnswer = (id: string, lastEventId: number) => string;

const EVENT_COUNT = 6;
/** Events that the caller has when the first endpoint breaks off. */
const FIRST_EVENT_COUNT = 3;
const ANSWER_MS = 30;

const formatEvents = (first: number, last: number) =>
  Array.from(
    { length: Math.max(0, last - first + 1) },
    (_, i) => `id: ${first + i}\ndata: piece ${first + i}\n\n`,
  ).join("");

const ALL_EVENTS = formatEvents(0, EVENT_COUNT - 1);

const formatChunks = (text: string, end = "0\r\n\r\n") =>
  `${text === "" ? "" : `${text.length.toString(16)}\r\n${text}\r\n`}${end}`;

const STAMP = "Server-Stamp: s\r\n";
const EVENT_STREAM = `${STAMP}Content-Type: text/event-stream\r\n`;
const CHUNKED = "Transfer-Encoding: chunked\r\n";
const NOT_RUN = "Not-Executed: 1\r\n";

const formatHead = (status: string, id: string, headers: string) =>
  `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\n${headers}Connection: close\r\n\r\n`;

const withLength =
  (status: string, headers: string, body: string): EndpointAnswer =>
  (id) =>
    `${formatHead(status, id, `${headers}Content-Length: ${body.length}\r\n`)}${body}`;

const withoutLength =
  (status: string, headers: string, body: string): EndpointAnswer =>
  (id) =>
    `${formatHead(status, id, headers)}${body}`;

const chunked =
  (body: (lastEventId: number) => string, end?: string): EndpointAnswer =>
  (id, lastEventId) =>
    `${formatHead("200 OK", id, `${EVENT_STREAM}${CHUNKED}`)}${formatChunks(body(lastEventId), end)}`;

const breakingOff = chunked(
  (last) => formatEvents(last + 1, last + FIRST_EVENT_COUNT),
  "",
);
const continuing = chunked((last) => formatEvents(last + 1, EVENT_COUNT - 1));
const refusing = withLength("503 Service Unavailable", NOT_RUN, "");

const PAGE = "<html>\n\n<p>out of order</p>\n\n";
const HEAD_TEXT = "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\n";

function assertStream(
  { status, body, isComplete }: Answer,
  events: string,
  isWhole: boolean,
): void {
  assert.deepEqual(
    { status, body, isComplete },
    { status: 200, body: events, isComplete: isWhole },
  );
}

describe("a stream that broke off", () => {
  let system: TestSystem;
  const closers: (() => void)[] = [];
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(async () => {
    for (const close of closers.splice(0)) close();
    await system.close();
  });

  /** Starts endpoints that give one answer after the other to each request. */
  async function startEndpoints(
    listAnswers: (requestId: string) => readonly EndpointAnswer[],
  ): Promise<void> {
    const attempts = new Map<string, number>();
    const answer = (socket: Socket, request: string) => {
      const id = /attempt-id: (\S+)/i.exec(request)?.[1];
      if (id === undefined) return;
      const number = attempts.get(id) ?? 0;
      attempts.set(id, number + 1);
      const lastIdText = /last-event-id: (\d+)/i.exec(request)?.[1] ?? "-1";
      const write = listAnswers(id)[number] ?? refusing;
      socket.write(write(id, Number(lastIdText)), "latin1");
      setTimeout(() => socket.end(), ANSWER_MS);
    };
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", (data) => answer(socket, data.toString()));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    closers.push(() => server.close());
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    await system.startStore();
    system.store.put("config", "main", createConfiguration());
    for (const id of ["i-1", "i-2", "i-3"]) {
      system.store.put("servers", id, createReplicaSpec(address.port));
    }
    await system.startEntry();
    await system.waitFor(() => system.isReady);
  }

  /** Answers whose head is not that of a stream's rest. */
  const unfitHeads: Readonly<Record<string, EndpointAnswer>> = {
    "204": withoutLength("204 No Content", STAMP, ""),
    "204, not run": withoutLength("204 No Content", `${STAMP}${NOT_RUN}`, ""),
    "206 with events": (id, last) =>
      withLength(
        "206 Partial Content",
        EVENT_STREAM,
        formatEvents(last + 1, EVENT_COUNT - 1),
      )(id, last),
    "302": withLength("302 Found", `${STAMP}Location: /x\r\n`, PAGE),
    "404": withLength("404 Not Found", STAMP, PAGE),
    "404 without length": withoutLength("404 Not Found", STAMP, PAGE),
    "404 without signature": withLength("404 Not Found", "", PAGE),
    "404, not run": withLength("404 Not Found", NOT_RUN, PAGE),
    "500": withLength("500 Error", STAMP, PAGE),
    "500 without length": withoutLength("500 Error", EVENT_STREAM, PAGE),
    "500 without signature": withoutLength("500 Error", "", PAGE),
    "500 with events": withLength(
      "500 Error",
      EVENT_STREAM,
      formatEvents(3, 5),
    ),
    "503, not run": withLength("503 Unavailable", `${STAMP}${NOT_RUN}`, PAGE),
    "200 without signature": withLength("200 OK", "", formatEvents(3, 5)),
    "200, not run": withLength(
      "200 OK",
      `${STAMP}${NOT_RUN}`,
      formatEvents(3, 5),
    ),
    "200 of another request": () =>
      withLength("200 OK", EVENT_STREAM, formatEvents(3, 5))("other", 2),
    "200 with a page": withLength(
      "200 OK",
      `${STAMP}Content-Type: text/html\r\n`,
      PAGE,
    ),
    "200 with a page without length": withoutLength(
      "200 OK",
      `${STAMP}Content-Type: text/html; charset=utf-8\r\n`,
      PAGE,
    ),
    "200 with events as plain text": withLength(
      "200 OK",
      `${STAMP}Content-Type: text/plain\r\n`,
      formatEvents(3, 5),
    ),
    "an informational head and 404": (id, last) =>
      `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${withLength("404 Not Found", STAMP, PAGE)(id, last)}`,
  };

  /** Answers with the head of a stream that do not go on after its last event. */
  const unfitBodies: Readonly<Record<string, EndpointAnswer>> = {
    "no event, with a length": withLength("200 OK", EVENT_STREAM, ""),
    "no event, in chunks": chunked(() => ""),
    "no event, without length": withoutLength("200 OK", EVENT_STREAM, ""),
    "text that ends as an event does": chunked(() => "out of memory\n\n"),
    "text without an end": chunked(() => "out of memory"),
    "text in an event": chunked(() => "event: error\ndata: no memory\n\n"),
    "text before the first event": chunked(
      (last) => `oops\n${formatEvents(last + 1, 5)}`,
    ),
    "a head before the first event": chunked(
      (last) => `${HEAD_TEXT}${formatEvents(last + 1, 5)}`,
    ),
    "a head as text": withoutLength("200 OK", EVENT_STREAM, HEAD_TEXT),
    "a head as text, with LF": chunked(
      () => "HTTP/1.1 500 Error\nContent-Type: text/plain\n\n",
    ),
    "a head with text": withoutLength(
      "200 OK",
      EVENT_STREAM,
      `${HEAD_TEXT}no memory\n\n`,
    ),
    "a repeated event": chunked((last) => formatEvents(last, EVENT_COUNT - 1)),
    "all events anew": chunked(() => ALL_EVENTS),
    "a gap": chunked((last) => formatEvents(last + 2, EVENT_COUNT - 1)),
    "events without ids": chunked(() => "data: piece 3\n\ndata: piece 4\n\n"),
  };

  /** Answers that go on as they should and then don't. */
  const partlyFit: Readonly<Record<string, EndpointAnswer>> = {
    "a second head in the body": (id, last) =>
      withoutLength(
        "200 OK",
        EVENT_STREAM,
        `${formatEvents(last + 1, last + 1)}${HEAD_TEXT}no memory\n\n`,
      )(id, last),
    "a second answer in the body": (id, last) =>
      withoutLength(
        "200 OK",
        EVENT_STREAM,
        `${formatEvents(last + 1, last + 1)}${HEAD_TEXT}${formatEvents(last + 2, 5)}`,
      )(id, last),
    "text after the last event": chunked(
      (last) => `${formatEvents(last + 1, last + 1)}no memory`,
    ),
    "a gap after an event": chunked(
      (last) => formatEvents(last + 1, last + 1) + formatEvents(last + 3, 5),
    ),
    "a repeated event after an event": chunked(
      (last) => formatEvents(last + 1, last + 1) + formatEvents(last + 1, 5),
    ),
    "a reset": chunked((last) => formatEvents(last + 1, last + 1), ""),
  };

  for (const [name, answer] of Object.entries({
    ...unfitHeads,
    ...unfitBodies,
    ...partlyFit,
  })) {
    it(`does not take ${name} for its rest`, async () => {
      await startEndpoints((id) => [
        breakingOff,
        answer,
        id === "r2" ? continuing : refusing,
      ]);
      const eventCount = name in partlyFit ? 4 : FIRST_EVENT_COUNT;
      const broken = await system.call("/stream/a", { id: "r1" });
      assertStream(broken, formatEvents(0, eventCount - 1), false);
      const resumed = await system.call("/stream/a", { id: "r2" });
      assertStream(resumed, ALL_EVENTS, true);
    });
  }

  const fit: Readonly<Record<string, EndpointAnswer>> = {
    "with a length": (id, last) =>
      withLength("200 OK", EVENT_STREAM, formatEvents(last + 1, 5))(id, last),
    "in chunks": continuing,
    "without length": (id, last) =>
      withoutLength(
        "200 OK",
        EVENT_STREAM,
        formatEvents(last + 1, 5),
      )(id, last),
    "without a type": (id, last) =>
      withLength("200 OK", STAMP, formatEvents(last + 1, 5))(id, last),
    "after an informational head": (id, last) =>
      `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${continuing(id, last)}`,
  };
  for (const [name, answer] of Object.entries(fit)) {
    it(`goes on with an answer ${name}`, async () => {
      await startEndpoints(() => [breakingOff, answer]);
      assertStream(await system.call("/stream/a"), ALL_EVENTS, true);
    });
  }

  const LF_EVENTS = formatEvents(3, 5);
  const otherForms: Readonly<Record<string, string>> = {
    "comments and blank lines": `: hello\n\n\n\n${LF_EVENTS}`,
    "a retry field": `retry: 10\n\n${LF_EVENTS}`,
    "a field of the platform": `weight-versions: 7\n${LF_EVENTS}`,
    "CRLF line ends": LF_EVENTS.replaceAll("\n", "\r\n"),
    "no space after colons": LF_EVENTS.replaceAll(": ", ":"),
  };
  for (const [name, events] of Object.entries(otherForms)) {
    it(`goes on with events that have ${name}`, async () => {
      await startEndpoints(() => [breakingOff, chunked(() => events)]);
      const answer = await system.call("/stream/a");
      assertStream(answer, formatEvents(0, 2) + events, true);
    });
  }

  // Nothing says where a stream without ids goes on: it would start again.
  for (const [name, events] of [
    ["without ids", "data: a\n\ndata: b\n\n"],
    ["whose last event has no id", "id: 0\ndata: a\n\ndata: b\n\n"],
  ] as const) {
    it(`ends as broken ${name}`, async () => {
      await startEndpoints(() => [chunked(() => events, ""), continuing]);
      assertStream(await system.call("/stream/a"), events, false);
    });
  }

  it("goes on where ids rise by more than one", async () => {
    const [first, rest] = [
      "id: 8\ndata: a\n\nid: 16\ndata: b\n\n",
      "id: 24\ndata: c\n\n",
    ];
    await startEndpoints((id) => [
      chunked(() => first, ""),
      chunked(() => (id === "r1" ? rest : "id: 32\ndata: d\n\n")),
    ]);
    assertStream(await system.call("/stream/a"), first + rest, true);
    assertStream(await system.call("/stream/a", { id: "r2" }), first, false);
  });

  // To these the comment is a keep-alive, which the caller may get.
  it("does not take a comment without an event for its rest", async () => {
    await startEndpoints(() => [breakingOff, chunked(() => ": hello\n\n")]);
    const answer = await system.call("/stream/a");
    assertStream(answer, `${formatEvents(0, 2)}: hello\n\n`, false);
  });

  for (const [name, text] of [
    ["a head and text", `${HEAD_TEXT}no memory\n\n`],
    ["a whole answer", `${HEAD_TEXT}${formatEvents(3, 5)}`],
    ["text", "no memory\n\n"],
  ] as const) {
    it(`goes on elsewhere after ${name} in its first answer`, async () => {
      await startEndpoints(() => [
        withoutLength("200 OK", EVENT_STREAM, formatEvents(0, 2) + text),
        continuing,
      ]);
      assertStream(await system.call("/stream/a"), ALL_EVENTS, true);
    });
  }

  for (const [name, events] of [
    ["no ids", "data: a\n\ndata: b\n\n"],
    ["ids that start at 7", formatEvents(7, 9)],
    ["ids that fall", formatEvents(3, 4) + formatEvents(0, 1)],
    [
      "comments, other fields and a byte order mark",
      `\ufeff: a\n\nx-y: z\nid: 0\ndata\n\n`,
    ],
    ["CRLF line ends", ALL_EVENTS.replaceAll("\n", "\r\n")],
    ["no event", ""],
  ] as const) {
    it(`is forwarded whole from a sound endpoint with ${name}`, async () => {
      const bytes = Buffer.from(events).toString("latin1");
      await startEndpoints(() => [chunked(() => bytes)]);
      assertStream(await system.call("/stream/a"), events, true);
    });
  }

  // Part of a page and the events of another endpoint would make one answer.
  for (const [name, write] of [
    ["with a length", withLength],
    ["without length", withoutLength],
  ] as const) {
    it(`is the whole page where the first answer is one ${name}`, async () => {
      const headers = `${STAMP}Content-Type: text/html\r\n`;
      const page = `${PAGE}<p>end</p>`;
      await startEndpoints(() => [write("200 OK", headers, page), continuing]);
      const answer = await system.call("/stream/a");
      assertStream(answer, page, true);
      assert.equal(answer.headers["content-type"], "text/html");
    });
  }

  it("has nothing of a page that broke off before it", async () => {
    const headers = `${STAMP}Content-Type: text/html\r\nContent-Length: 999\r\n`;
    await startEndpoints(() => [
      withoutLength("200 OK", headers, PAGE),
      continuing,
    ]);
    const answer = await system.call("/stream/a");
    assertStream(answer, ALL_EVENTS, true);
    assert.equal(answer.headers["content-type"], "text/event-stream");
  });

  // Without chunks only a reset tells such a caller that events are missing.
  for (const name of ["204", "no event, in chunks", "text in an event"]) {
    it(`is reset for a caller of HTTP/1.0 after ${name}`, async () => {
      const answer = { ...unfitHeads, ...unfitBodies }[name] ?? refusing;
      await startEndpoints(() => [breakingOff, answer]);
      const { text, isReset } = await new Promise<{
        text: string;
        isReset: boolean;
      }>((resolve) => {
        const socket = connect(system.callerPort, "127.0.0.1");
        let received = "";
        socket.on("data", (data) => {
          received += data.toString();
        });
        socket.once("error", () => resolve({ text: received, isReset: true }));
        socket.once("close", () => resolve({ text: received, isReset: false }));
        socket.write(
          `POST /stream/a HTTP/1.0\r\nHost: ${HOST}\r\nAttempt-Id: r1\r\nAuthorization: Bearer ${API_KEY}\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n`,
        );
      });
      assert.equal(text.split("\r\n\r\n")[1], formatEvents(0, 2));
      assert.equal(isReset, true);
    });
  }

  it("has no events of a low-confidence answer before it", async () => {
    const headers = `${EVENT_STREAM}Confidence: 0\r\n`;
    const small = withLength("200 OK", headers, "id: 0\ndata: small\n\n");
    await startEndpoints(() => [small, breakingOff, continuing]);
    const answer = await system.call("/stream/sized/a");
    assertStream(answer, ALL_EVENTS, true);
    assert.equal(answer.headers.confidence, undefined);
  });
});
