import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseWatchers, type Peer } from "../core/index.js";
import { PeerOrder } from "./peer_order.js";

function createPeers(entries: number, endpoints: number): Peer[] {
  const create = (role: Peer["role"], count: number) =>
    Array.from({ length: count }, (_, index) => ({
      name: `${role}-${index}`,
      role,
      dataCentre: `dc${index % 6}`,
      address: "127.0.0.1",
      controlPort: 1,
      leaving: false,
    }));
  return [...create("entry", entries), ...create("endpoint", endpoints)];
}

/** Processes that ask each entry first. */
function countAskers(peers: readonly Peer[]): Map<string, number> {
  const watchers = new Set(chooseWatchers(peers).map((peer) => peer.name));
  const askers = new Map<string, number>();
  for (const { name, dataCentre } of peers) {
    if (watchers.has(name)) continue;
    const first = new PeerOrder({ name, dataCentre }, () => 0).list(peers)[0];
    const asked = first?.name ?? "";
    askers.set(asked, (askers.get(asked) ?? 0) + 1);
  }
  return askers;
}

describe("the order of peers to ask", () => {
  it("keeps a watcher of a large fleet from answering all endpoints", () => {
    const peers = createPeers(380, 930);
    const most = Math.max(...countAskers(peers).values());
    assert.ok(most <= 40, `${most} processes ask one entry`);
  });

  it("asks the watchers in a small fleet, where a third hop gains nothing", () => {
    const peers = createPeers(12, 21);
    const watchers = new Set(chooseWatchers(peers).map((peer) => peer.name));
    for (const asked of countAskers(peers).keys()) {
      assert.ok(watchers.has(asked));
    }
  });
});
