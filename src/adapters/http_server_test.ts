import assert from "node:assert/strict";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { afterEach, describe, it, mock } from "node:test";
import { readBody } from "./http_server.js";
import {
  HeldMemory,
  MAX_BODY_PAUSE_MS,
  MemoryBudget,
} from "./received/index.js";

describe("the body of a request", () => {
  afterEach(() => mock.timers.reset());

  // A caller that goes silent within a body held its memory for good.
  it("is refused as not run when it stops, and holds no memory then", async () => {
    mock.timers.enable({ apis: ["setTimeout"] });
    const budget = new MemoryBudget(() => 0);
    const request = new IncomingMessage(new Socket());
    request.push(Buffer.alloc(100_000));
    const body = readBody(request, 1_000_000, new HeldMemory(budget));
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(budget.heldBytes, 100_000);
    mock.timers.tick(MAX_BODY_PAUSE_MS);
    const refusal = await body;
    assert.ok(!Buffer.isBuffer(refusal));
    assert.deepEqual([refusal.status, refusal.ran], [503, "no"]);
    assert.equal(budget.heldBytes, 0);
  });
});
