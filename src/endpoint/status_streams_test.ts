import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { describe, it } from "node:test";
import { EndpointStatus } from "../schema/index.js";
import type { AttachCall } from "./gate_service.js";
import { StatusStreams } from "./status_streams.js";

function createCall(entry: string, incarnation: string): AttachCall {
  const request = { entry, incarnation, statusPeriodMs: 0 };
  const call = Object.assign(new EventEmitter(), {
    request,
    write: () => true,
    end: () => undefined,
  });
  return call as unknown as AttachCall;
}

describe("status streams", () => {
  // An endpoint seals the ledger pages of a replaced entry, so a live entry must
  // never count as replaced.
  it("tell another incarnation of an entry from the same one and other entries", () => {
    const streams = new StatusStreams(() => EndpointStatus.fromPartial({}));
    const call = createCall("a", "2");
    streams.add(call, 0);
    assert.ok(streams.isReplaced("a-1"));
    assert.ok(!streams.isReplaced("a-2"));
    assert.ok(!streams.isReplaced("a-b-1"));
    assert.ok(!streams.isReplaced("b-1"));
    call.emit("cancelled");
    assert.ok(!streams.isReplaced("a-1"));
  });
});
