import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpointRecord } from "../endpoint_record_fixtures_test.js";
import { FleetView } from "./fleet_view.js";
import { Rollouts } from "./rollouts.js";
import { UnconfirmedVersions } from "./unconfirmed_versions.js";

const V1 = { service: "svc", version: "v1" };
const V2 = { service: "svc", version: "v2" };

describe("unconfirmed versions", () => {
  it("are confirmed once the orders are known up to their first record", () => {
    const versions = new UnconfirmedVersions();
    versions.addConfirmed(V1);
    assert.equal(versions.add(V1, 20), false);
    assert.equal(versions.add(V2, 21), true);
    assert.equal(versions.add(V2, 30), true);
    versions.confirm(20);
    assert.equal(versions.has(V2), true);
    versions.confirm(21);
    assert.equal(versions.has(V2), false);
    assert.equal(versions.add(V2, 40), false);
  });

  // Revisions of the restored store are lower, and would never reach the old.
  it("are confirmed after a restore by the revisions of the restored store", () => {
    const versions = new UnconfirmedVersions();
    versions.add(V2, 900);
    versions.restart();
    versions.confirm(40);
    assert.equal(versions.has(V2), true);
    assert.equal(versions.add(V2, 39), false);
    assert.equal(versions.has(V2), false);
  });
});

describe("endpoints of an unconfirmed version", () => {
  const listIds = (view: FleetView) =>
    view.listUsableEndpoints("svc").map(({ record }) => record.id);

  function createView(versions: readonly string[]): FleetView {
    const view = new FleetView(new Rollouts("self", 0.15));
    for (const version of versions) {
      const record = createEndpointRecord(`i-${version}`, { version });
      view.endpoints.put(record, 0);
    }
    view.unconfirmedVersions.add(V2, 5);
    return view;
  }

  it("get no requests while others can take them", () => {
    const view = createView(["v1", "v2"]);
    assert.deepEqual(listIds(view), ["i-v1"]);
    view.unconfirmedVersions.confirm(5);
    assert.deepEqual(listIds(view), ["i-v1", "i-v2"]);
  });

  it("get requests where there are no others", () => {
    assert.deepEqual(listIds(createView(["v2"])), ["i-v2"]);
  });

  it("get the share of a roll-out whose order is known", () => {
    const view = createView(["v1", "v2"]);
    const order = { service: "svc", target: "v2", durationMs: 20_000 };
    view.rollouts.put({ ...order, createdRevision: 4, revision: 4 }, 0);
    assert.deepEqual(listIds(view), ["i-v1", "i-v2"]);
  });
});
