import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpointRecord } from "../endpoint_record_fixtures_test.js";
import { EndpointState } from "../placing/index.js";
import { ROLLOUT_OUTCOME } from "../types.js";
import { listAllowedEndpoints } from "./allowed_endpoints.js";
import { getInitialShare, Rollouts } from "./rollouts.js";
import { hashSession, SessionVersions } from "./session_versions.js";

const INITIAL_SHARE = getInitialShare(0.15);
const OPTIONS = { maxGapMs: 10_000, reportBelow: INITIAL_SHARE };

function createEndpoint(version: string): EndpointState {
  const record = createEndpointRecord(`i-${version}`, { version });
  return new EndpointState(record, 0);
}

const ENDPOINTS = [createEndpoint("v1"), createEndpoint("v2")];

/** The version that an entry with these sessions chooses for a request. */
function findAllowedVersion(
  sessions: SessionVersions,
  session: string,
  nowMs: number,
): string | undefined {
  const rollouts = new Rollouts("self", 0.15);
  const order = { service: "svc", target: "v2", durationMs: 24_000 };
  rollouts.put({ ...order, createdRevision: 1, revision: 1 }, 1_000);
  const [endpoint] = listAllowedEndpoints(ENDPOINTS, {
    service: "svc",
    rollouts,
    rolloutPosition: hashSession("svc", session),
    lastVersion: sessions.get("svc", session, nowMs),
    nowMs,
  });
  return endpoint?.record.version;
}

const sessions = Array.from({ length: 400 }, (_, i) => `s${i}`);
const firstMovedSessions = sessions.filter(
  (name) => hashSession("svc", name) < INITIAL_SHARE,
);

describe("session versions", () => {
  // A session that another entry served before the roll-out must not move.
  it("keeps the version of a session at entries that got a report", () => {
    const [first, second] = [
      new SessionVersions(OPTIONS),
      new SessionVersions(OPTIONS),
    ];
    assert.ok(firstMovedSessions.length > 10);
    for (const name of firstMovedSessions) {
      first.record("svc", name, { version: "v1", atMs: 900 });
      assert.equal(findAllowedVersion(second, name, 1_500), "v2");
    }
    second.merge(first.listReports(1_400), 1_400);
    for (const name of firstMovedSessions) {
      assert.equal(findAllowedVersion(first, name, 1_500), "v1");
      assert.equal(findAllowedVersion(second, name, 1_500), "v1");
    }
  });

  // Reporting a session until it ends would send it dozens of times.
  it("reports a session for a short time, but keeps its version", () => {
    const versions = new SessionVersions(OPTIONS);
    const [name = ""] = firstMovedSessions;
    versions.record("svc", name, { version: "v1", atMs: 900 });
    assert.equal(versions.listReports(3_900).length, 1);
    assert.equal(versions.listReports(3_901).length, 0);
    assert.equal(findAllowedVersion(versions, name, 10_900), "v1");
  });

  it("forgets a session that has ended", () => {
    const versions = new SessionVersions(OPTIONS);
    const [name = ""] = firstMovedSessions;
    versions.record("svc", name, { version: "v1", atMs: 900 });
    assert.equal(findAllowedVersion(versions, name, 10_901), "v2");
    assert.deepEqual(versions.listReports(10_901), []);
  });

  it("reports only the sessions that a roll-out would move first", () => {
    const versions = new SessionVersions(OPTIONS);
    for (const name of sessions) {
      versions.record("svc", name, { version: "v1", atMs: 0 });
    }
    const reported = versions.listReports(10).map((report) => report.session);
    assert.deepEqual(reported.sort(), [...firstMovedSessions].sort());
  });

  it("keeps the later of two reports", () => {
    const versions = new SessionVersions(OPTIONS);
    const report = { service: "svc", session: "s1" };
    versions.merge([{ ...report, version: "v2", ageMs: 10 }], 1_000);
    versions.merge([{ ...report, version: "v1", ageMs: 500 }], 1_000);
    assert.equal(versions.get("svc", "s1", 1_000), "v2");
  });
});

describe("versions besides the target of a roll-out", () => {
  const order = { service: "svc", durationMs: 24_000, createdRevision: 1 };
  const endpoints = ["v1", "v2", "v3", "v4"].map(createEndpoint);

  function listVersions(rollouts: Rollouts, among = endpoints): string[] {
    const states = listAllowedEndpoints(among, {
      service: "svc",
      rollouts,
      rolloutPosition: 0.9,
      nowMs: 1_500,
    });
    return states.map(({ record }) => record.version);
  }

  // Endpoints of a version that was rolled back stay registered for some
  // seconds; sessions switched back and forth between it and the old one.
  it("exclude one that was rolled back before the next order", () => {
    const rollouts = new Rollouts("self", 0.15);
    rollouts.put({ ...order, target: "v3", revision: 1 }, 0);
    const outcome = ROLLOUT_OUTCOME.rolledBack;
    rollouts.put({ ...order, target: "v3", revision: 2, outcome }, 500);
    const remaining = endpoints.filter(({ record }) => record.version !== "v2");
    assert.deepEqual(listVersions(rollouts, remaining), ["v1", "v4"]);
    rollouts.put({ ...order, target: "v4", revision: 3 }, 1_000);
    assert.deepEqual(listVersions(rollouts, remaining), ["v1"]);
  });

  it("exclude the target of an order that was replaced", () => {
    const rollouts = new Rollouts("self", 0.15);
    rollouts.put({ ...order, target: "v3", revision: 1 }, 0);
    rollouts.put({ ...order, target: "v4", revision: 2 }, 1_000);
    assert.deepEqual(listVersions(rollouts), ["v1", "v2"]);
  });

  it("are the last completed one only, while it has endpoints", () => {
    const rollouts = new Rollouts("self", 0.15);
    const outcome = ROLLOUT_OUTCOME.completed;
    rollouts.put({ ...order, target: "v2", revision: 1, outcome }, 0);
    rollouts.put({ ...order, target: "v3", revision: 2 }, 1_000);
    assert.deepEqual(listVersions(rollouts), ["v2"]);
    const remaining = endpoints.filter(({ record }) => record.version !== "v2");
    assert.deepEqual(listVersions(rollouts, remaining), ["v1", "v4"]);
  });

  it("include abandoned ones if there is no other", () => {
    const rollouts = new Rollouts("self", 0.15);
    rollouts.put({ ...order, target: "v3", revision: 1 }, 0);
    rollouts.put({ ...order, target: "v4", revision: 2 }, 1_000);
    const remaining = endpoints.filter(({ record }) => record.version === "v3");
    assert.deepEqual(listVersions(rollouts, remaining), ["v3"]);
  });

  // Requests that a bad target fails at first must still be answered.
  it("are used if the target can't take the request", () => {
    const rollouts = new Rollouts("self", 0.15);
    rollouts.put({ ...order, target: "v4", revision: 1 }, 0);
    const listAt = (options: {
      isTargetUnavailable: boolean;
      lastVersion?: string;
    }) =>
      listAllowedEndpoints(endpoints, {
        service: "svc",
        rollouts,
        rolloutPosition: 0,
        nowMs: 3_000,
        ...options,
      }).map(({ record }) => record.version);
    assert.deepEqual(listAt({ isTargetUnavailable: false }), ["v4"]);
    assert.deepEqual(listAt({ isTargetUnavailable: true }), ["v1", "v2", "v3"]);
    // A session that has moved to the target must not change back.
    const moved = { isTargetUnavailable: true, lastVersion: "v4" };
    assert.deepEqual(listAt(moved), ["v4"]);
  });

  // An operator may order a version again.
  it("exclude one that is ordered again, until it completes", () => {
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
