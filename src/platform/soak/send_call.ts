/** One call of a caller, and its record. */

import { type Agent, request } from "node:http";
import { RUN_ID_HEADER } from "../standins/replica.js";
import { HOST } from "./fleet.js";
import type { CallRecord } from "./records.js";
import { REQUEST_BODY } from "./request_body.js";

const CALL_DEADLINE_MS = 1_500;
/** A caller waits this much longer than its deadline for an answer, ms. */
const EXTRA_WAIT_MS = 1_500;
/** First part of all prompts. */
const FIRST_PART = "first0";
export function createRecord(
  options: Pick<CallRecord, "id" | "route" | "entry" | "key"> &
    Partial<CallRecord> & { readonly secondPart: string },
): CallRecord {
  const {
    secondPart,
    deadlineMs = CALL_DEADLINE_MS,
    requestBody = REQUEST_BODY,
    ownPart = options.id,
    ...fields
  } = options;
  return {
    sharedParts: [FIRST_PART, secondPart],
    deadlineMs,
    requestBody,
    ownPart,
    sentAtMs: performance.now(),
    endedAtMs: 0,
    namedIds: [],
    body: "",
    isComplete: false,
    ...fields,
  };
}

export function sendCall(
  record: CallRecord,
  agent: Agent,
  port: number,
): Promise<void> {
  const { requestBody = "", ownPart = record.id } = record;
  return new Promise((resolve) => {
    const outgoing = request(
      {
        host: "127.0.0.1",
        port,
        agent,
        method: "POST",
        path: `/${record.route}/a`,
        headers: {
          host: HOST,
          "attempt-id": record.id,
          authorization: `Bearer ${record.key}`,
          "deadline-ms": String(record.deadlineMs),
          "content-length": String(requestBody.length),
          "prefix-hash": [...record.sharedParts, ownPart]
            .map((part) => `${part}:10`)
            .join(","),
        },
      },
      (response) => {
        record.status = response.statusCode;
        record.retryAfterS = Number(response.headers["retry-after"] ?? 0);
        record.stamp = response.headers["server-stamp"]?.toString();
        record.namedIds = ["attempt-id", RUN_ID_HEADER.toLowerCase()].flatMap(
          (name) => response.headers[name] ?? [],
        );
        response.on("data", (chunk: Buffer) => {
          record.body += chunk.toString();
        });
        const settle = () => {
          clearTimeout(timer);
          record.isComplete = response.complete;
          resolve();
        };
        response.once("error", settle);
        response.once("end", settle);
        response.once("close", settle);
      },
    );
    outgoing.once("socket", (socket) => {
      const keepPort = () => {
        record.localPort = socket.localPort;
      };
      if (socket.connecting) socket.once("connect", keepPort);
      else keepPort();
    });
    const timer = setTimeout(
      () => outgoing.destroy(new Error("No answer")),
      record.deadlineMs + EXTRA_WAIT_MS,
    );
    outgoing.once("error", () => {
      clearTimeout(timer);
      resolve();
    });
    outgoing.end(requestBody);
  });
}
