import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import {
  API_KEY,
  createConfiguration,
  TestSystem,
} from "./entry_fixtures_test.js";

describe("who may call", () => {
  let system: TestSystem;
  afterEach(async () => await system.close());

  /** Starts an entry, then replaces the client accounts of its configuration. */
  async function startWithTenants(tenants: unknown): Promise<void> {
    system = new TestSystem();
    await system.start([{ id: "i-1" }]);
    const { tenants: _, ...rest } = createConfiguration(2);
    const next = tenants === undefined ? rest : { ...rest, tenants };
    system.store.put("config", "main", next);
    await system.waitFor(() =>
      system.logs.some(
        ({ event, version }) =>
          event === "configuration-in-force" && version === 2,
      ),
    );
  }

  async function listStatuses(): Promise<number[]> {
    const statuses: number[] = [];
    for (const key of [API_KEY, "key-of-nobody", ""]) {
      const id = `r-${statuses.length}`;
      statuses.push((await system.call("/once/a", { id, key })).status);
    }
    return statuses;
  }

  // The last key was taken away, and from then on any key was accepted.
  for (const [name, tenants] of [
    ["none are left", []],
    ["none can be read", [7, { api_keys: [API_KEY] }]],
    ["none has a key", [{ name: "farm", api_keys: [] }]],
    ["they are no list", { farm: { api_keys: [API_KEY] } }],
    ["they are null", null],
  ] as const) {
    it(`nobody, where accounts are configured and ${name}`, async () => {
      await startWithTenants(tenants);
      assert.deepEqual(await listStatuses(), [401, 401, 401]);
      assert.equal((await system.call("/open/a", { id: "o" })).status, 200);
    });
  }

  it("anyone, where a configuration has no accounts at all", async () => {
    await startWithTenants(undefined);
    assert.deepEqual(await listStatuses(), [200, 200, 200]);
  });

  // A request without a key was taken for one with this key.
  it("nobody without a key, where an account has an empty one", async () => {
    await startWithTenants([{ name: "farm", api_keys: ["", API_KEY] }]);
    assert.deepEqual(await listStatuses(), [200, 401, 401]);
    const headers = { authorization: "" };
    const answer = await system.call("/once/a", { id: "n", headers });
    assert.equal(answer.status, 401);
  });
});
