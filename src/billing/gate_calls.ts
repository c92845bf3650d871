/** An entry's calls to the gates of endpoints, other than dispatches. */

import { callUnary } from "../adapters/index.js";
import type { EndpointDirectory } from "../entry/endpoint_directory.js";
import type { GateClient } from "../schema/index.js";
import { createAttemptReport, type LookUpAttempt } from "./claim_outcomes.js";
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
      ? createAttemptReport(reply.value)
      : { kind: "unreachable" };
  };
}
