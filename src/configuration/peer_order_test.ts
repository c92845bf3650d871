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

/** Number of processes that ask each entry first, by entry name. */
function countAskers(peers: readonly Peer[]): Map<string, number> {
  const watchers = new Set(chooseWatchers(peers).map((peer) => peer.name));
  const askers = new Map<string, number>();
  for (const { name, dataCentre } of peers) {
    if (watchers.has(name)) continue;
    const first = new PeerOrder({ name, dataCentre }, () => 0).list(peers)[0];
    const entryName = first?.name ?? "";
    askers.set(entryName, (askers.get(entryName) ?? 0) + 1);
  }
  return askers;
}

describe("order of peers to ask", () => {
  it("limits how many processes ask one entry in a large fleet", () => {
    const peers = createPeers(380, 930);
    const maxAskers = Math.max(...countAskers(peers).values());
    assert.ok(maxAskers <= 40, `${maxAskers} processes ask one entry`);
  });

  it("asks watchers directly in a small fleet, where another hop gains nothing", () => {
    const peers = createPeers(12, 21);
    const watchers = new Set(chooseWatchers(peers).map((peer) => peer.name));
    for (const entryName of countAskers(peers).keys()) {
      assert.ok(watchers.has(entryName));
    }
  });
});
