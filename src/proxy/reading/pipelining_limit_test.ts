import assert from "node:assert/strict";
import { Socket } from "node:net";
import { beforeEach, describe, it } from "node:test";
import {
  MAX_PIPELINED_REQUESTS,
  MAX_RUNNING_PER_CONNECTION,
} from "../../adapters/received/index.js";
import { type OpenRequest, PipeliningLimit } from "./pipelining_limit.js";

describe("requests that are sent before the answers to those before them", () => {
  let limit: PipeliningLimit;
  const told: Socket[] = [];
  beforeEach(() => {
    told.length = 0;
    limit = new PipeliningLimit((socket) => told.push(socket as Socket));
  });

  /** Begins as many as the connection may, up to `count`. */
  const begin = (socket: Socket, count = Number.POSITIVE_INFINITY) => {
    const requests: OpenRequest[] = [];
    while (requests.length < count && limit.mayBegin(socket)) {
      requests.push(limit.add(socket));
    }
    return requests;
  };
  const beginOnMany = (connections: number) =>
    Array.from({ length: connections }, () => begin(new Socket()));

  it("are few on each connection", () => {
    const socket = new Socket();
    const requests = begin(socket);
    assert.equal(requests.length, MAX_RUNNING_PER_CONNECTION);
    requests[0]?.end();
    assert.deepEqual(told, [socket]);
    assert.equal(begin(socket).length, 1);
  });

  // A crowd that pipelines ran sixteen requests for each one of a caller who
  // waits for the answer.
  it("are few on all connections, and each connection may have one", () => {
    const connections = 10 * MAX_PIPELINED_REQUESTS;
    const requests = beginOnMany(connections).flat();
    assert.equal(requests.length, connections + MAX_PIPELINED_REQUESTS);
    assert.equal(begin(new Socket()).length, 1);
  });

  it("begin in the order in which their connections came to wait", () => {
    const connections = MAX_PIPELINED_REQUESTS / MAX_RUNNING_PER_CONNECTION + 1;
    const requests = beginOnMany(connections);
    const waiting = [new Socket(), new Socket()];
    for (const socket of waiting) begin(socket);
    for (const request of requests[0]?.slice(1) ?? []) request.end();
    const toldWaiting = told.filter((socket) => waiting.includes(socket));
    assert.deepEqual(toldWaiting, waiting);
  });

  it("may begin again when all have ended", () => {
    const requests = beginOnMany(MAX_PIPELINED_REQUESTS).flat();
    for (const request of requests) request.end();
    assert.equal(begin(new Socket()).length, MAX_RUNNING_PER_CONNECTION);
  });
});
