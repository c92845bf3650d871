/** An entry's calls to the gates of endpoints, other than dispatches. */

import { callUnary } from "../adapters/index.js";
import type { EndpointDirectory } from "../entry/endpoint_directory.js";
import type { GateClient, LookUpAttemptReply } from "../schema/index.js";
import type { AttemptReport, LookUpAttempt } from "./claim_outcomes.js";
import type { HolderCalls } from "./receipt_holders.js";

const RELEASE_TIMEOUT_MS = 1_000;
const HOLD_TIMEOUT_MS = 500;
const LOOK_UP_TIMEOUT_MS = 1_000;

function bindUnary<
  K extends "holdReceipt" | "releaseReceipts" | "lookUpAttempt",
>(client: GateClient, name: K): GateClient[K] {
  return client[name].bind(client) as GateClient[K];
}

/** Endpoints that can keep copies of receipts. */
export function listHolderNames(directory: EndpointDirectory): string[] {
  return directory
    .listStatus()
    .filter((status) => !status.leaving)
    .map((status) => status.endpoint);
}

export function createHolderCalls(directory: EndpointDirectory): HolderCalls {
  return {
    findProcess: (endpoint) => {
      const status = directory.getStatus(endpoint);
      return status?.leaving === false ? status.epoch : undefined;
    },
    holdReceipt: async (endpoint, record, signal) => {
      const client = directory.getClient(endpoint);
      if (client === undefined) return false;
      const reply = await callUnary(
        bindUnary(client, "holdReceipt"),
        {
          owner: record.owner,
          requestId: record.receipt.requestId,
          receipt: JSON.stringify(record),
        },
        { timeoutMs: HOLD_TIMEOUT_MS, signal },
      );
      return reply.isOk() && reply.value.held;
    },
    releaseReceipts: async (endpoint, release, signal) => {
      const client = directory.getClient(endpoint);
      if (client === undefined) return false;
      const reply = await callUnary(
        bindUnary(client, "releaseReceipts"),
        release,
        { timeoutMs: RELEASE_TIMEOUT_MS, signal },
      );
      return reply.isOk();
    },
  };
}

function parseAttemptReport(reply: LookUpAttemptReply): AttemptReport {
  const { state, lastFrame } = reply;
  if (state === "revoked") return { kind: "revoked" };
  if (state === "running") return { kind: "running" };
  if (state === "other-epoch") return { kind: "other-epoch" };
  if (lastFrame?.end !== undefined) {
    const { status, contentType, body } = lastFrame.end;
    return { kind: "ended", status, contentType, body };
  }
  // The gate refused the attempt before it reached the service.
  if (lastFrame?.refusal?.ran === "no") return { kind: "revoked" };
  return { kind: "failed" };
}

/**
 * Asks the gate that a claim names about the attempt; the report is "gone"
 * when the endpoint has left the host list.
 */
export function createLookUpAttempt(
  directory: EndpointDirectory,
): LookUpAttempt {
  return async (attempt, signal) => {
    const { endpoint, epoch, requestId } = attempt;
    const client = directory.getClient(endpoint);
    if (client === undefined) {
      return { kind: directory.isGone(endpoint) ? "gone" : "unreachable" };
    }
    const reply = await callUnary(
      bindUnary(client, "lookUpAttempt"),
      { requestId, attempt: attempt.attempt, epoch },
      { timeoutMs: LOOK_UP_TIMEOUT_MS, signal },
    );
    return reply.isOk()
      ? parseAttemptReport(reply.value)
      : { kind: "unreachable" };
  };
}
