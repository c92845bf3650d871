import assert from "node:assert/strict";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { News } from "../../schema/exchange/index.js";
import { createSuspendClock } from "../suspend_clock.js";
import { startPeerServer } from "./peer_messages.js";
import { NEWS_PATH, ViewRelay } from "./view_relay.js";

const LOG = { debug() {}, info() {}, warn() {}, error() {} };

describe("view relay", () => {
  // The follower's own watch may put it ahead of the reader for a moment. If it
  // stopped following, it would call the store after each change.
  it("keeps following a reader that is behind while the view is recent", async () => {
    const controller = new AbortController();
    const { signal } = controller;
    let answerCount = 0;
    const answer = () => {
      answerCount++;
      const view = { kind: "k", revision: 3, ageMs: 10, isComplete: true };
      return News.encode({
        views: [{ ...view, isLost: false, changes: [] }],
        waitedMs: 0,
        era: 0,
      }).finish();
    };
    const server = await startPeerServer(new Map([[NEWS_PATH, answer]]), {
      address: "127.0.0.1",
      port: 0,
    });
    const { port } = server.address() as AddressInfo;
    const followingStates: boolean[] = [];
    let appliedCount = 0;
    const relay = new ViewRelay({
      selfName: "e9",
      views: [
        {
          kind: "k",
          revision: 5,
          ageMs: 100,
          isLost: false,
          hasChangesSince: () => false,
          listChangesSince: () => [],
          applyChanges: () => {
            appliedCount++;
          },
          setFollowing: (isFollowing) => followingStates.push(isFollowing),
        },
      ],
      maxAgeMs: { k: 1_000 },
      waitMs: 50,
      listNeighbours: () =>
        ["e0", "e1", "e2"].map((name) => ({
          name,
          incarnation: "1",
          address: "127.0.0.1",
          port,
          ageMs: 0,
          dataCentre: "dc1",
        })),
      getEra: () => 0,
      onEra: () => {},
      onAnswer: () => {},
      onSourceLost: () => {},
      clock: createSuspendClock(),
      log: LOG,
      signal,
    });
    const running = relay.run();
    while (answerCount < 2)
      await new Promise((resolve) => setTimeout(resolve, 10));
    controller.abort();
    await running;
    server.close();
    server.closeAllConnections();
    assert.equal(appliedCount, 0);
    assert.equal(followingStates[0], true);
  });

  it("goes on with the next round after one that fails", async () => {
    const controller = new AbortController();
    const { signal } = controller;
    let rounds = 0;
    const relay = new ViewRelay({
      selfName: "e1",
      views: [],
      maxAgeMs: {},
      waitMs: 50,
      getEra: () => 0,
      onEra: () => {},
      listNeighbours: () => {
        rounds++;
        if (rounds === 1) throw new Error("odd");
        controller.abort();
        return [];
      },
      onAnswer: () => {},
      onSourceLost: () => {},
      clock: createSuspendClock(),
      log: LOG,
      signal,
    });
    await relay.run();
    assert.equal(rounds, 2);
  });
});
