import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  type Answer,
  createConfiguration,
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

  for (const [name, answer] of Object.entries(unfitHeads)) {
    it(`does not take ${name} for its rest`, async () => {
      await startEndpoints((id) => [
        breakingOff,
        answer,
        id === "r2" ? continuing : refusing,
      ]);
      const broken = await system.call("/stream/a", { id: "r1" });
      assertStream(broken, formatEvents(0, FIRST_EVENT_COUNT - 1), false);
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
});
