import assert from "node:assert/strict";
import { Socket } from "node:net";
import { describe, it } from "node:test";
import {
  MAX_RUNNING_PER_CONNECTION,
  MAX_WAITING_REQUESTS,
} from "../../adapters/received/index.js";
import { RequestQueues, type RequestTurn } from "./request_queues.js";

describe("requests behind one another on a connection", () => {
  const addRequests = (queues: RequestQueues, socket: Socket, count: number) =>
    Array.from({ length: count }, () => queues.add(socket)).filter(
      (turn) => turn !== undefined,
    );

  it("run in their order, a few at a time", async () => {
    const queues = new RequestQueues();
    const socket = new Socket();
    const turns = addRequests(queues, socket, 3 * MAX_RUNNING_PER_CONNECTION);
    const running: RequestTurn[] = [];
    for (const turn of turns) {
      void Promise.resolve(turn.wait()).then(() => running.push(turn));
    }
    for (const [i, turn] of turns.entries()) {
      await new Promise((resolve) => setImmediate(resolve));
      assert.deepEqual(running, turns.slice(0, i + MAX_RUNNING_PER_CONNECTION));
      turn.end();
    }
  });

  // Node resumes the socket itself after each request.
  it("are not read on until those that wait have run", () => {
    const queues = new RequestQueues();
    const socket = new Socket();
    const turns = addRequests(queues, socket, MAX_RUNNING_PER_CONNECTION + 1);
    socket.resume();
    assert.ok(socket.isPaused());
    for (const turn of turns.slice(0, 2)) {
      void turn.wait();
      turn.end();
    }
    assert.ok(!socket.isPaused());
  });

  it("are refused when too many wait on all connections, others are not", () => {
    const queues = new RequestQueues();
    const turns = addRequests(queues, new Socket(), 2 * MAX_WAITING_REQUESTS);
    assert.equal(
      turns.length,
      MAX_WAITING_REQUESTS + MAX_RUNNING_PER_CONNECTION,
    );
    const other = new Socket();
    assert.equal(
      addRequests(queues, other, MAX_RUNNING_PER_CONNECTION + 1).length,
      MAX_RUNNING_PER_CONNECTION,
    );
    for (const turn of turns) turn.end();
    assert.ok(queues.add(other) !== undefined);
  });
});
