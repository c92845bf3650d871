import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PreferredEndpoints } from "./preferred_endpoints.js";

const IDS = Array.from({ length: 12 }, (_, index) => `i-${index}`);

describe("preferred endpoints of shared prompt parts", () => {
  // If each entry sent a part elsewhere, every endpoint would read it.
  it("are the same for all entries", () => {
    const preferred = new PreferredEndpoints().list("m p", IDS);
    assert.equal(preferred.length, 2);
    assert.deepEqual(new PreferredEndpoints().list("m p", IDS), preferred);
    assert.notDeepEqual(new PreferredEndpoints().list("m q", IDS), preferred);
  });

  // A remembered endpoint that is gone would leave the part without one.
  it("change when an endpoint is added or removed", () => {
    const preferredEndpoints = new PreferredEndpoints();
    const [first = ""] = preferredEndpoints.list("m p", IDS);
    const remaining = IDS.filter((id) => id !== first);
    assert.ok(!preferredEndpoints.list("m p", remaining).includes(first));
    assert.deepEqual(preferredEndpoints.list("m p", IDS)[0], first);
  });
});
