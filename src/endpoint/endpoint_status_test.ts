import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { describe, it } from "node:test";
import { EndpointStatus } from "../schema/index.js";
import type { AttachCall } from "./endpoint_service.js";
import { StatusWatchers } from "./endpoint_status.js";

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
  // A false successor makes a survivor seal the pages of a live entry.
  it("tell a later start of an entry from itself and from other entries", () => {
    const watchers = new StatusWatchers(() => EndpointStatus.fromPartial({}));
    const call = createCall("a", "2");
    watchers.add(call, 0);
    assert.ok(watchers.hasSuccessor("a-1"));
    assert.ok(!watchers.hasSuccessor("a-2"));
    assert.ok(!watchers.hasSuccessor("a-b-1"));
    assert.ok(!watchers.hasSuccessor("b-1"));
    call.emit("cancelled");
    assert.ok(!watchers.hasSuccessor("a-1"));
  });
});
