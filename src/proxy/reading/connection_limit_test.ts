import assert from "node:assert/strict";
import { Socket } from "node:net";
import { beforeEach, describe, it } from "node:test";
import {
  CONNECTION_USE,
  ConnectionLimit,
  type ConnectionUse,
  computeMaxConnections,
} from "./connection_limit.js";

const MAX_CONNECTIONS = 10;

describe("the limit of callers' connections", () => {
  let limit: ConnectionLimit;
  const uses = new Map<unknown, ConnectionUse>();
  const closed: unknown[] = [];
  beforeEach(() => {
    uses.clear();
    closed.length = 0;
    limit = new ConnectionLimit({
      maxConnections: MAX_CONNECTIONS,
      getUse: (socket) => uses.get(socket) ?? CONNECTION_USE.none,
      close: (socket) => closed.push(socket),
    });
  });

  const add = (use: ConnectionUse = CONNECTION_USE.none) => {
    const socket = new Socket();
    uses.set(socket, use);
    limit.add(socket);
    return socket;
  };
  const fill = (use: ConnectionUse, count = MAX_CONNECTIONS) =>
    Array.from({ length: count }, () => add(use));

  it("closes none while there is room", () => {
    const [first] = fill(CONNECTION_USE.none);
    first?.emit("close");
    add();
    assert.deepEqual(closed, []);
    assert.equal(limit.size, MAX_CONNECTIONS);
  });

  // A caller who has just connected sends its request at once.
  it("closes the connection that has been silent for longest", () => {
    const [first, second] = fill(CONNECTION_USE.none);
    add();
    add();
    assert.deepEqual(closed, [first, second]);
    assert.equal(limit.size, MAX_CONNECTIONS);
  });

  it("closes first what costs its caller least", () => {
    const { none, idle, arriving, unread, running } = CONNECTION_USE;
    const order = [none, idle, arriving, unread];
    const sockets = [running, unread, arriving, idle, none].map(add);
    fill(running, MAX_CONNECTIONS - sockets.length);
    for (const _use of order) add(running);
    assert.deepEqual(closed, sockets.slice(1).reverse());
  });

  it("closes the connection that was used longest ago", () => {
    const [first, second] = fill(CONNECTION_USE.idle);
    assert.ok(first);
    limit.recordUse(first);
    add();
    assert.deepEqual(closed, [second]);
  });

  // Closing another one would lose a request that runs.
  it("closes a new connection while requests run on all others", () => {
    fill(CONNECTION_USE.running);
    const late = add();
    assert.deepEqual(closed, [late]);
    assert.equal(limit.size, MAX_CONNECTIONS);
  });

  it("leaves room for endpoints and others, on small hosts too", () => {
    const max = computeMaxConnections(186, 2_212);
    assert.ok(max > 1_000 && max < 1_500, `${max}`);
    assert.ok(computeMaxConnections(10_000, 300) <= 60);
    assert.equal(computeMaxConnections(186, 0), 1);
  });
});
