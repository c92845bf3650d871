import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointState } from "../placing/index.js";
import { ROLLOUT_OUTCOME } from "../types.js";
import { getFirstShare, Rollouts } from "./rollouts.js";
import { hashSession, SessionVersions } from "./session_versions.js";
import { listAllowedVersions } from "./version_choice.js";

const FIRST = getFirstShare(0.15);
const OPTIONS = { gapMs: 10_000, toldBelow: FIRST };

function createEndpoint(version: string): EndpointState {
  return new EndpointState(
    {
      id: `i-${version}`,
      service: "svc",
      address: "10.0.0.1",
      port: 80,
      dataCentre: "dc1",
      version,
      slots: 8,
      isLeaving: false,
      coldLeftMs: 0,
    },
    0,
  );
}

const ENDPOINTS = [createEndpoint("v1"), createEndpoint("v2")];

/** The version on which an entry with these sessions runs a request. */
function findVersion(
  sessions: SessionVersions,
  session: string,
  nowMs: number,
): string | undefined {
  const rollouts = new Rollouts("self", 0.15);
  const order = { service: "svc", target: "v2", durationMs: 24_000 };
  rollouts.put({ ...order, createdRevision: 1, revision: 1 }, 1_000);
  const [first] = listAllowedVersions(ENDPOINTS, {
    service: "svc",
    rollouts,
    place: hashSession("svc", session),
    lastVersion: sessions.get("svc", session, nowMs),
    nowMs,
  });
  return first?.record.version;
}

const sessions = Array.from({ length: 400 }, (_, i) => `s${i}`);
const early = sessions.filter((name) => hashSession("svc", name) < FIRST);

describe("versions of sessions", () => {
  // A session that another entry served before the rollout must not move.
  it("keeps a session's version at every entry that was told of it", () => {
    const [first, second] = [
      new SessionVersions(OPTIONS),
      new SessionVersions(OPTIONS),
    ];
    assert.ok(early.length > 10);
    for (const name of early) {
      first.record("svc", name, { version: "v1", atMs: 900 });
      assert.equal(findVersion(second, name, 1_500), "v2");
    }
    second.merge(first.listReports(1_400), 1_400);
    for (const name of early) {
      assert.equal(findVersion(first, name, 1_500), "v1");
      assert.equal(findVersion(second, name, 1_500), "v1");
    }
  });

  // Told for as long as it lasts, each session would travel dozens of times.
  it("tells a session only while it spreads, and still keeps it", () => {
    const first = new SessionVersions(OPTIONS);
    const [name = ""] = early;
    first.record("svc", name, { version: "v1", atMs: 900 });
    assert.equal(first.listReports(3_900).length, 1);
    assert.equal(first.listReports(3_901).length, 0);
    assert.equal(findVersion(first, name, 10_900), "v1");
  });

  it("lets a session go that has ended", () => {
    const first = new SessionVersions(OPTIONS);
    const [name = ""] = early;
    first.record("svc", name, { version: "v1", atMs: 900 });
    assert.equal(findVersion(first, name, 10_901), "v2");
    assert.deepEqual(first.listReports(10_901), []);
  });

  it("tells only of sessions that a rollout would move first", () => {
    const first = new SessionVersions(OPTIONS);
    for (const name of sessions) {
      first.record("svc", name, { version: "v1", atMs: 0 });
    }
    const told = first.listReports(10).map((report) => report.session);
    assert.deepEqual(told.sort(), [...early].sort());
  });

  it("keeps the later of two reports", () => {
    const first = new SessionVersions(OPTIONS);
    const report = { service: "svc", session: "s1" };
    first.merge([{ ...report, version: "v2", ageMs: 10 }], 1_000);
    first.merge([{ ...report, version: "v1", ageMs: 500 }], 1_000);
    assert.equal(first.get("svc", "s1", 1_000), "v2");
  });
});

describe("versions beside the one that a rollout brings", () => {
  const order = { service: "svc", durationMs: 24_000, createdRevision: 1 };
  const endpoints = ["v1", "v2", "v3", "v4"].map(createEndpoint);

  function listVersions(rollouts: Rollouts, among = endpoints): string[] {
    const states = listAllowedVersions(among, {
      service: "svc",
      rollouts,
      place: 0.9,
      nowMs: 1_500,
    });
    return states.map(({ record }) => record.version);
  }

  // Endpoints of the version that was rolled back are there for some seconds;
  // sessions changed to and fro between it and the old one.
  it("leave out one that was rolled back when the next order comes", () => {
    const rollouts = new Rollouts("self", 0.15);
    rollouts.put({ ...order, target: "v3", revision: 1 }, 0);
    const outcome = ROLLOUT_OUTCOME.rolledBack;
    rollouts.put({ ...order, target: "v3", revision: 2, outcome }, 500);
    const left = endpoints.filter(({ record }) => record.version !== "v2");
    assert.deepEqual(listVersions(rollouts, left), ["v1", "v4"]);
    rollouts.put({ ...order, target: "v4", revision: 3 }, 1_000);
    assert.deepEqual(listVersions(rollouts, left), ["v1"]);
  });

  it("leave out one whose order was replaced", () => {
    const rollouts = new Rollouts("self", 0.15);
    rollouts.put({ ...order, target: "v3", revision: 1 }, 0);
    rollouts.put({ ...order, target: "v4", revision: 2 }, 1_000);
    assert.deepEqual(listVersions(rollouts), ["v1", "v2"]);
  });

  it("are the completed one alone, while it has endpoints", () => {
    const rollouts = new Rollouts("self", 0.15);
    const outcome = ROLLOUT_OUTCOME.completed;
    rollouts.put({ ...order, target: "v2", revision: 1, outcome }, 0);
    rollouts.put({ ...order, target: "v3", revision: 2 }, 1_000);
    assert.deepEqual(listVersions(rollouts), ["v2"]);
    const left = endpoints.filter(({ record }) => record.version !== "v2");
    assert.deepEqual(listVersions(rollouts, left), ["v1", "v4"]);
  });

  it("are any, rather than none", () => {
    const rollouts = new Rollouts("self", 0.15);
    rollouts.put({ ...order, target: "v3", revision: 1 }, 0);
    rollouts.put({ ...order, target: "v4", revision: 2 }, 1_000);
    const left = endpoints.filter(({ record }) => record.version === "v3");
    assert.deepEqual(listVersions(rollouts, left), ["v3"]);
  });

  // A caller who is among the first to try a bad version must not suffer by it.
  it("are the old ones where the new one can't take the request", () => {
    const rollouts = new Rollouts("self", 0.15);
    rollouts.put({ ...order, target: "v4", revision: 1 }, 0);
    const listAt = (options: { isTargetOut: boolean; lastVersion?: string }) =>
      listAllowedVersions(endpoints, {
        service: "svc",
        rollouts,
        place: 0,
        nowMs: 3_000,
        ...options,
      }).map(({ record }) => record.version);
    assert.deepEqual(listAt({ isTargetOut: false }), ["v4"]);
    assert.deepEqual(listAt({ isTargetOut: true }), ["v1", "v2", "v3"]);
    // A session that has moved may not change its version again.
    const moved = { isTargetOut: true, lastVersion: "v4" };
    assert.deepEqual(listAt(moved), ["v4"]);
  });

  // An operator may order a version again.
  it("leave out one that is ordered again, until it is completed", () => {
    const rollouts = new Rollouts("self", 0.15);
    const outcome = ROLLOUT_OUTCOME.rolledBack;
    rollouts.put({ ...order, target: "v3", revision: 1, outcome }, 0);
    const again = { ...order, target: "v3", createdRevision: 2 };
    rollouts.put({ ...again, revision: 2 }, 500);
    assert.deepEqual(listVersions(rollouts), ["v1", "v2", "v4"]);
    const completed = ROLLOUT_OUTCOME.completed;
    rollouts.put({ ...again, revision: 3, outcome: completed }, 1_000);
    assert.deepEqual(listVersions(rollouts), ["v3"]);
  });
});
