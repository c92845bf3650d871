import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  type Fault,
  SharedFakeStore,
} from "../configuration/shared_fake_store_test.js";
import { createEmptyState, formatSessionKey } from "../core/index.js";
import type { FleetState, ModelVersion } from "../schema/index.js";
import { SessionResolver } from "./session_store.js";

const SIGNAL = new AbortController().signal;
const SESSION_KEY = "a secret of sixteen or more";
const ALL = ["v1", "v2", "v3", "v4"];

function createState(options: {
  revision?: number;
  withdrawn?: string[];
  allowed?: string[];
  share?: number;
}): FleetState {
  const { revision = 1, withdrawn = [], allowed = ALL, share = 1 } = options;
  const state = createEmptyState();
  state.revision = revision;
  for (const name of ALL) {
    const version: ModelVersion = {
      name,
      model: "small",
      state: withdrawn.includes(name) ? "withdrawn" : "active",
      costPerKiloToken: 1,
    };
    state.versions[name] = version;
    state.subjects[`version/${name}`] = revision;
  }
  state.rollouts.v1 = { version: "v1", share };
  state.accounts.pumps = {
    name: "pumps",
    apiKeySha256: [],
    versions: allowed,
    services: [],
    classes: ["chat"],
  };
  return state;
}

function createRequest(state: FleetState, sessionId?: string, token?: string) {
  const candidates = state.accounts.pumps?.versions ?? [];
  const names = { account: "pumps", requestClass: "chat" };
  return { ...names, sessionId, token, candidates, state };
}

/** A busy machine must not make the fake store count as out. */
const SETTLE_MS = 20_000;

function createResolver(store: SharedFakeStore, takeFault?: () => Fault) {
  const client = store.connect(takeFault);
  return new SessionResolver({
    store: client,
    sessionKey: SESSION_KEY,
    settleMs: SETTLE_MS,
  });
}

async function resolveOk(
  resolver: SessionResolver,
  ...args: Parameters<typeof createRequest>
) {
  const request = createRequest(...args);
  return (await resolver.resolve(request, SIGNAL))._unsafeUnwrap();
}

describe("session versions", () => {
  it("are the same at every entry while entries race on different roll-out shares and lose replies", async () => {
    const entry = fc.record({
      share: fc.constantFrom(0, 0.1, 0.5, 1),
      faults: fc.array(
        fc.constantFrom<Fault>("none", "lost-after", "lost-before"),
        { maxLength: 4 },
      ),
    });
    const property = fc.asyncProperty(
      fc.array(entry, { minLength: 2, maxLength: 6 }),
      fc.string({ minLength: 1, maxLength: 128, unit: "grapheme-ascii" }),
      async (entries, sessionId) => {
        const store = new SharedFakeStore();
        const answers = await Promise.all(
          entries.map(({ share, faults }) => {
            const resolver = createResolver(
              store,
              () => faults.shift() ?? "none",
            );
            return resolveOk(resolver, createState({ share }), sessionId);
          }),
        );
        const versions = new Set(answers.map((answer) => answer.version));
        assert.equal(versions.size, 1);
        assert.ok(answers.every((answer) => answer.moved === undefined));
      },
    );
    await fc.assert(property, {
      numRuns: 200,
      interruptAfterTimeLimit: 20_000,
    });
  });

  it("stay when the share changes, at an entry that saw the session and at one that did not", async () => {
    const store = new SharedFakeStore();
    const first = createResolver(store);
    for (let index = 0; index < 50; index++) {
      const id = `s${index}`;
      const before = await resolveOk(first, createState({ share: 0.9 }), id);
      const state = createState({ share: 0, revision: 2 });
      for (const resolver of [first, createResolver(store)]) {
        const later = await resolveOk(resolver, state, id);
        assert.equal(later.version, before.version);
      }
    }
  });

  it("follow the token without a store call", async () => {
    const store = new SharedFakeStore();
    const { version, token } = await resolveOk(
      createResolver(store),
      createState({}),
      "s1",
    );
    const { callCount: calls } = store;
    const resolver = createResolver(store);
    const later = await resolveOk(resolver, createState({}), undefined, token);
    assert.equal(later.version, version);
    assert.equal(store.callCount, calls);
  });

  it("don't follow a token that was changed or is another account's", async () => {
    const resolver = createResolver(new SharedFakeStore());
    const state = createState({});
    const { token = "" } = await resolveOk(resolver, state, "s1");
    const forged = `${token.slice(0, -2)}AA`;
    const answer = await resolver.resolve(
      createRequest(state, undefined, forged),
      SIGNAL,
    );
    assert.equal(answer._unsafeUnwrapErr().code, "bad-request");
    const other = createRequest(state, undefined, token);
    const foreign = await resolver.resolve(
      { ...other, account: "other" },
      SIGNAL,
    );
    assert.equal(foreign._unsafeUnwrapErr().code, "bad-request");
  });

  it("move once and say so when the version is withdrawn or no longer allowed", async () => {
    const cases = [
      (version: string) => ({
        moved: "withdrawn",
        state: createState({ withdrawn: [version], revision: 2 }),
      }),
      (version: string) => ({
        moved: "not-allowed",
        state: createState({
          allowed: ALL.filter((name) => name !== version),
          revision: 2,
        }),
      }),
    ];
    for (const createCase of cases) {
      const store = new SharedFakeStore();
      const [one, two] = [createResolver(store), createResolver(store)];
      const before = await resolveOk(one, createState({}), "s1");
      await resolveOk(two, createState({}), "s1");
      const { moved, state } = createCase(before.version);
      const after = await resolveOk(one, state, "s1", before.token);
      assert.equal(after.moved, moved);
      assert.notEqual(after.version, before.version);
      // The earlier version is back: the session does not return to it.
      const restored = createState({ revision: 3 });
      const seen = await Promise.all([
        resolveOk(one, restored, "s1"),
        resolveOk(two, restored, "s1"),
        resolveOk(two, restored, "s1", after.token),
      ]);
      for (const answer of seen) assert.equal(answer.version, after.version);
    }
  });

  it("are not moved back by an entry whose state is older than the move", async () => {
    const store = new SharedFakeStore();
    const resolver = createResolver(store);
    await resolveOk(
      resolver,
      createState({ allowed: ["v2"], revision: 2 }),
      "s1",
    );
    const stale = createState({ allowed: ["v1"], revision: 1 });
    const answer = await createResolver(store).resolve(
      createRequest(stale, "s1"),
      SIGNAL,
    );
    assert.equal(answer._unsafeUnwrapErr().code, "stale-revision");
  });

  it("are refused as not run during a store outage where only the store knows them", async () => {
    const store = new SharedFakeStore();
    let fault: Fault = "none";
    const knows = createResolver(store, () => fault);
    const other = createResolver(store, () => fault);
    // The session began when only v2 was allowed, so its record differs from
    // what the later state assigns to most session ids.
    const first = createState({ allowed: ["v2"] });
    const { version, token } = await resolveOk(knows, first, "s1");
    const state = createState({ revision: 2 });
    assert.equal((await resolveOk(knows, state, "s1")).version, version);
    fault = "down";
    for (const id of ["s1", "s2"]) {
      const request = createRequest(state, id);
      const refusal = (await other.resolve(request, SIGNAL))._unsafeUnwrapErr();
      assert.equal(refusal.code, "store-unavailable");
      assert.equal(refusal.ran, "no");
      assert.ok(refusal.retryAfterMs > 0);
    }
    assert.equal((await resolveOk(knows, state, "s1")).version, version);
    assert.equal((await resolveOk(other, state, "s1", token)).version, version);
    // A ticket since then may have moved the session at another entry.
    const later = createRequest(createState({ revision: 3 }), "s1");
    const answer = await knows.resolve(later, SIGNAL);
    assert.equal(answer._unsafeUnwrapErr().code, "store-unavailable");
    fault = "none";
    assert.equal((await resolveOk(other, state, "s1")).version, version);
  });

  it("have keys that no session id leaves or shares, and refuse ids out of bounds", async () => {
    const names = { account: "pumps", requestClass: "chat" };
    const ids = ["../x", "..", "a/b", "a", "A", "%2e", "\u0000", "ä"];
    const keys = ids.map((id) => formatSessionKey({ ...names, sessionId: id }));
    assert.equal(new Set(keys).size, ids.length);
    for (const key of keys) {
      assert.match(key, /^sessions\/pumps\/[\w-]+\.chat$/);
    }
    for (const sessionId of ["", "x".repeat(129), "\ud800"]) {
      const resolver = createResolver(new SharedFakeStore());
      const request = createRequest(createState({}), sessionId);
      const answer = await resolver.resolve(request, SIGNAL);
      assert.equal(answer._unsafeUnwrapErr().code, "bad-request");
    }
  });

  it("take part in a roll-out in its share at most", async () => {
    const resolver = createResolver(new SharedFakeStore());
    const state = createState({ share: 0.2, allowed: ["v1", "v2"] });
    let count = 0;
    for (let index = 0; index < 1_000; index++) {
      const answer = await resolveOk(resolver, state, `s${index}`);
      if (answer.version === "v1") count++;
    }
    assert.ok(count > 0 && count < 200, `${count} of 1000`);
  });
});
