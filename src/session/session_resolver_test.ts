import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  type Fault,
  SharedFakeStore,
} from "../configuration/shared_fake_store_test.js";
import { createEmptyState, formatSessionKey } from "../core/index.js";
import type { FleetState, ModelVersion } from "../schema/index.js";
import { SessionResolver } from "./session_resolver.js";

const NEVER_ABORTED = new AbortController().signal;
const SESSION_KEY = "a secret of sixteen or more";
const ALL_VERSIONS = ["v1", "v2", "v3", "v4"];

function createState(options: {
  revision?: number;
  withdrawn?: string[];
  allowed?: string[];
  share?: number;
}): FleetState {
  const {
    revision = 1,
    withdrawn = [],
    allowed = ALL_VERSIONS,
    share = 1,
  } = options;
  const state = createEmptyState();
  state.revision = revision;
  for (const name of ALL_VERSIONS) {
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

/** Long, so that a busy machine does not make the fake store time out. */
const STORE_TIMEOUT_MS = 20_000;

function createResolver(store: SharedFakeStore, takeFault?: () => Fault) {
  const client = store.connect(takeFault);
  return new SessionResolver({
    store: client,
    sessionKey: SESSION_KEY,
    storeTimeoutMs: STORE_TIMEOUT_MS,
  });
}

async function resolveOk(
  resolver: SessionResolver,
  ...args: Parameters<typeof createRequest>
) {
  const request = createRequest(...args);
  return (await resolver.resolve(request, NEVER_ABORTED))._unsafeUnwrap();
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
        assert.ok(answers.every((answer) => answer.moveReason === undefined));
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

  it("are taken from the token without a store call", async () => {
    const store = new SharedFakeStore();
    const { version, token } = await resolveOk(
      createResolver(store),
      createState({}),
      "s1",
    );
    const { callCount } = store;
    const resolver = createResolver(store);
    const later = await resolveOk(resolver, createState({}), undefined, token);
    assert.equal(later.version, version);
    assert.equal(store.callCount, callCount);
  });

  it("are not taken from a token that was altered or is another account's", async () => {
    const resolver = createResolver(new SharedFakeStore());
    const state = createState({});
    const { token = "" } = await resolveOk(resolver, state, "s1");
    const forged = `${token.slice(0, -2)}AA`;
    const answer = await resolver.resolve(
      createRequest(state, undefined, forged),
      NEVER_ABORTED,
    );
    assert.equal(answer._unsafeUnwrapErr().code, "bad-request");
    const foreignRequest = createRequest(state, undefined, token);
    const foreign = await resolver.resolve(
      { ...foreignRequest, account: "other" },
      NEVER_ABORTED,
    );
    assert.equal(foreign._unsafeUnwrapErr().code, "bad-request");
  });

  it("change once, with the reason, when the version is withdrawn or no longer allowed", async () => {
    const cases = [
      (version: string) => ({
        moveReason: "withdrawn",
        state: createState({ withdrawn: [version], revision: 2 }),
      }),
      (version: string) => ({
        moveReason: "not-allowed",
        state: createState({
          allowed: ALL_VERSIONS.filter((name) => name !== version),
          revision: 2,
        }),
      }),
    ];
    for (const createCase of cases) {
      const store = new SharedFakeStore();
      const [firstEntry, secondEntry] = [
        createResolver(store),
        createResolver(store),
      ];
      const before = await resolveOk(firstEntry, createState({}), "s1");
      await resolveOk(secondEntry, createState({}), "s1");
      const { moveReason, state } = createCase(before.version);
      const after = await resolveOk(firstEntry, state, "s1", before.token);
      assert.equal(after.moveReason, moveReason);
      assert.notEqual(after.version, before.version);
      // The earlier version is allowed again, but the session does not return.
      const restored = createState({ revision: 3 });
      const laterAnswers = await Promise.all([
        resolveOk(firstEntry, restored, "s1"),
        resolveOk(secondEntry, restored, "s1"),
        resolveOk(secondEntry, restored, "s1", after.token),
      ]);
      for (const answer of laterAnswers)
        assert.equal(answer.version, after.version);
    }
  });

  it("are not changed back by an entry whose state is older than the change", async () => {
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
      NEVER_ABORTED,
    );
    assert.equal(answer._unsafeUnwrapErr().code, "stale-revision");
  });

  it("are refused as not run during a store outage when only the store has them", async () => {
    const store = new SharedFakeStore();
    let fault: Fault = "none";
    const cachingResolver = createResolver(store, () => fault);
    const freshResolver = createResolver(store, () => fault);
    // The session began when only v2 was allowed, so its record differs from
    // what the later state assigns to most session ids.
    const first = createState({ allowed: ["v2"] });
    const { version, token } = await resolveOk(cachingResolver, first, "s1");
    const state = createState({ revision: 2 });
    assert.equal(
      (await resolveOk(cachingResolver, state, "s1")).version,
      version,
    );
    fault = "down";
    for (const id of ["s1", "s2"]) {
      const request = createRequest(state, id);
      const refusal = (
        await freshResolver.resolve(request, NEVER_ABORTED)
      )._unsafeUnwrapErr();
      assert.equal(refusal.code, "store-unavailable");
      assert.equal(refusal.ran, "no");
      assert.ok(refusal.retryAfterMs > 0);
    }
    assert.equal(
      (await resolveOk(cachingResolver, state, "s1")).version,
      version,
    );
    assert.equal(
      (await resolveOk(freshResolver, state, "s1", token)).version,
      version,
    );
    // A ticket since then may have moved the session at another entry.
    const later = createRequest(createState({ revision: 3 }), "s1");
    const answer = await cachingResolver.resolve(later, NEVER_ABORTED);
    assert.equal(answer._unsafeUnwrapErr().code, "store-unavailable");
    fault = "none";
    assert.equal(
      (await resolveOk(freshResolver, state, "s1")).version,
      version,
    );
  });

  it("have a separate key for each session id, and refuse invalid ids", async () => {
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
      const answer = await resolver.resolve(request, NEVER_ABORTED);
      assert.equal(answer._unsafeUnwrapErr().code, "bad-request");
    }
  });

  it("include the version of a roll-out for at most its share of sessions", async () => {
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
