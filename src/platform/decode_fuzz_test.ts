import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  decodeConfiguration,
  decodeEndpoint,
  decodeRollout,
} from "./decode_configuration.js";
import { createConfiguration } from "./entry_fixtures_test.js";
import { decodeSettings } from "./entry_settings.js";
import { parseAddress } from "./parse_address.js";
import { platformWire } from "./platform_wire.js";
import {
  decodeEvents,
  decodeObject,
  decodePage,
  parseEvent,
  serializeEvent,
} from "./store_client.js";

const FUZZ_OPTIONS = { numRuns: 2_000 };
/** Spec of an endpoint, as stored on the platform. */
const ENDPOINT = {
  service: "svc",
  addr: "10.0.0.1:8080",
  zone: "dc1",
  version: "v1",
  slots: 8,
  state: "ready",
  cold_left_ms: 0,
  seq: 1,
  born: 1_700_000_000_000,
};
/** Spec of a roll-out order, as stored on the platform. */
const ROLLOUT = { service: "svc", target: "v2", duration_s: 12 };

/** A stored object in the JSON form of the store. */
function createObjectJson(spec: unknown, status: unknown = null) {
  const metadata = { name: "a", revision: 3, created: 2, deleting: false };
  return { metadata, spec, status };
}

/** Replaces the leaf of a document that has the index in document order. */
function replaceLeaf(document: unknown, index: number, value: unknown) {
  let leafCount = 0;
  const text = JSON.stringify(document, (_key, item: unknown) => {
    if (typeof item === "object" && item !== null) return item;
    return leafCount++ === index ? value : item;
  });
  return JSON.parse(text) as unknown;
}

function countLeaves(document: unknown): number {
  let count = 0;
  JSON.stringify(document, (_key, item: unknown) => {
    if (typeof item !== "object" || item === null) count++;
    return item;
  });
  return count;
}

/** Replaces an arbitrary leaf of a document by an arbitrary value. */
function replaceAnyLeaf(document: unknown): fc.Arbitrary<unknown> {
  return fc
    .tuple(
      fc.nat({ max: countLeaves(document) - 1 }),
      fc.oneof(fc.jsonValue(), fc.constant(undefined)),
    )
    .map(([index, value]) => replaceLeaf(document, index, value));
}

function assertReturnsResult(
  decode: (value: unknown) => { isOk(): boolean; isErr(): boolean },
  value: unknown,
): void {
  const result = decode(value);
  assert.ok(result.isOk() || result.isErr());
}

// Documents come from other programs. An invalid one must neither end the
// process nor be taken in with missing fields.
describe("decoding of documents from outside", () => {
  const decodeSpec =
    <T>(decode: (object: ReturnType<typeof createStoredObject>) => T) =>
    (value: unknown): T =>
      decode(createStoredObject(value));
  const createStoredObject = (spec: unknown) => ({
    name: "svc",
    revision: 3,
    createdRevision: 2,
    isDeleting: false,
    spec,
    status: null,
  });
  const decoders: Record<
    string,
    [(value: unknown) => { isOk(): boolean; isErr(): boolean }, unknown]
  > = {
    object: [decodeObject, createObjectJson(ENDPOINT)],
    page: [
      decodePage,
      { items: [createObjectJson(ENDPOINT)], has_more: false, at: 4 },
    ],
    events: [
      decodeEvents,
      {
        events: [{ deleted: false, object: createObjectJson(ENDPOINT) }],
        at: 4,
      },
    ],
    configuration: [decodeConfiguration, createConfiguration()],
    endpoint: [decodeSpec(decodeEndpoint), ENDPOINT],
    rollout: [decodeSpec(decodeRollout), ROLLOUT],
  };
  for (const [name, [decode, valid]] of Object.entries(decoders)) {
    it(`${name}: returns a result for every value and throws nothing`, () => {
      assert.ok(decode(valid).isOk());
      fc.assert(
        fc.property(fc.oneof(fc.jsonValue(), replaceAnyLeaf(valid)), (value) =>
          assertReturnsResult(decode, value),
        ),
        FUZZ_OPTIONS,
      );
    });
  }

  // Entries pass on what they have read, and `JSON.stringify` is recursive.
  it("events: can be serialized, however deeply they are nested", () => {
    const nest = (levels: number, open: string, close: string) =>
      open.repeat(levels) + (open === "[" ? "" : "0") + close.repeat(levels);
    const metadata = JSON.stringify({ name: "a", revision: 3 });
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 100_000 }),
        fc.constantFrom(["[", "]"], ['{"a":', "}"]),
        fc.constantFrom("spec", "status"),
        (levels, [open = "", close = ""], field) => {
          const object = `{"metadata":${metadata},"${field}":${nest(levels, open, close)}}`;
          const event = parseEvent(Buffer.from(`{"object":${object}}`));
          assert.ok(event.isOk());
          assert.ok(parseEvent(serializeEvent(event.value)).isOk());
        },
      ),
      { numRuns: 50 },
    );
  });

  // The last name asks for the next page: none would end the list, and one with
  // half a surrogate pair can't be part of a path.
  it("page: continues after the last name that a path can have", () => {
    const named = (name: unknown) => ({ metadata: { name, revision: 3 } });
    const items = [named("a"), named("b"), named("c\ud800"), named(7), 8];
    const page = decodePage({ items, has_more: true, at: 4 });
    assert.ok(page.isOk());
    assert.equal(page.value.lastName, "b");
    assert.equal(page.value.objects.length, 2);
    assert.equal(page.value.skipReasons.length, 3);
  });

  it("endpoint: never returns a record with a missing field", () => {
    fc.assert(
      fc.property(replaceAnyLeaf(ENDPOINT), (spec) => {
        const record = decodeEndpoint(createStoredObject(spec));
        if (record.isErr()) return;
        const { id, service, address, port, dataCentre, version, slots } =
          record.value;
        for (const text of [id, service, address, dataCentre, version]) {
          assert.ok(typeof text === "string" && text !== "");
        }
        assert.ok(Number.isInteger(port) && slots >= 1);
      }),
      FUZZ_OPTIONS,
    );
  });

  // Such a record is another writer's. One that was cold for ever stayed so
  // after the endpoint had written its own again.
  for (const [name, odd] of Object.entries({
    "an endless cold time": { cold_left_ms: Number.POSITIVE_INFINITY },
    "a cold time of years": { cold_left_ms: 1e300 },
    "a cold time that is a text": { cold_left_ms: "5" },
    "too many slots": { slots: 1e300 },
    "a part of a slot": { slots: 1.5 },
    "a start time that is a text": { born: "5" },
    "a start time that is not exact": { born: 1e300 },
    "an address that is none": { addr: "10.0.0.999:80" },
    "a port out of range": { addr: "10.0.0.1:65536" },
    "a huge version": { version: "v".repeat(1_000_000) },
    "a huge service": { service: "s".repeat(1_000_000) },
    "a huge data centre": { zone: "z".repeat(1_000_000) },
  })) {
    it(`endpoint: is left out with ${name}`, () => {
      assert.ok(decodeEndpoint(createStoredObject(ENDPOINT)).isOk());
      const record = decodeEndpoint(
        createStoredObject({ ...ENDPOINT, ...odd }),
      );
      assert.ok(record.isErr());
      assert.ok(record.error.detail.length < 300);
    });
  }

  const decodeOrder = (spec: object, status: unknown = null) =>
    decodeRollout({ ...createStoredObject(spec), name: "svc", status });

  // Names of a status were looked up in an object with a prototype, so that a
  // roll-out had an outcome that is none and was never decided.
  it("rollout: has no outcome with a state that names none", () => {
    for (const state of ["__proto__", "constructor", "toString", "", 7]) {
      const order = decodeOrder(ROLLOUT, { target: "v2", state });
      assert.ok(order.isOk());
      assert.equal(order.value.outcome, undefined, String(state));
    }
    const done = decodeOrder(ROLLOUT, { target: "v2", state: "completed" });
    assert.equal(done.isOk() && done.value.outcome, "completed");
  });

  // It replaced the service's own order, and stayed after its object was gone.
  it("rollout: is left out under the name of another service", () => {
    const order = decodeRollout({ ...createStoredObject(ROLLOUT), name: "x" });
    assert.ok(order.isErr());
  });

  for (const seconds of [-5, 1e300, Number.POSITIVE_INFINITY, Number.NaN]) {
    it(`rollout: is left out with a duration of ${seconds} s`, () => {
      assert.ok(decodeOrder({ ...ROLLOUT, duration_s: seconds }).isErr());
    });
  }

  it("settings: returns a failure for every arbitrary text", () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        assert.ok(decodeSettings(text).isErr());
      }),
      FUZZ_OPTIONS,
    );
  });

  it("address: accepts only an IPv4 address with a port", () => {
    assert.deepEqual(parseAddress("10.0.0.1:80"), {
      address: "10.0.0.1",
      port: 80,
    });
    for (const text of ["", "a:1", "10.0.0.1", "10.0.0.1:0", "1.2.3.4:70000"]) {
      assert.equal(parseAddress(text), undefined);
    }
  });
});

describe("headers of the platform", () => {
  const header = fc.tuple(
    fc.constantFrom(
      "Attempt-Id",
      "Host",
      "Deadline-Ms",
      "Token-Counts",
      "Prefix-Hash",
      "Last-Event-Id",
      "Authorization",
      "Connection",
      "Replica-Load",
      "Confidence",
      "Retry-After",
      "X-Own",
    ),
    fc.string(),
  );
  const endpoint = {
    id: "i-1",
    service: "svc",
    address: "10.0.0.1",
    port: 80,
    dataCentre: "dc1",
    version: "v1",
    slots: 8,
    isLeaving: false,
    coldLeftMs: 0,
  };

  it("parses any headers without throwing", () => {
    fc.assert(
      fc.property(fc.array(header), (pairs) => {
        const headers = pairs.flat();
        platformWire.parseRequest("GET", "/a/", headers);
        platformWire.parseAnswer(headers);
        platformWire.createAnswerHeaders(headers);
      }),
      FUZZ_OPTIONS,
    );
  });

  // A caller could otherwise act for another account or occupy an endpoint.
  it("removes headers that a caller may not set", () => {
    const reservedNames = [
      "Tenant",
      "tenant",
      "Expect-Instance",
      "Kv-Hold",
      "kv-from",
      "Kv-Backup",
      "Kv-Fetch",
      "Pin-Ms",
      "Expect-Version",
      "Priority-Class",
      "Authorization",
      "Deadline-Ms",
    ];
    const headers = reservedNames.flatMap((name) => [name, "forged"]);
    const attemptHeaders = platformWire.createAttemptHeaders(headers, {
      endpoint,
      deadlineMs: 100,
      account: "farm",
      rank: 2,
      bodyBytes: 0,
    });
    assert.ok(!attemptHeaders.includes("forged"));
  });

  it("removes headers of one connection, named ones too", () => {
    const attemptHeaders = platformWire.createAttemptHeaders(
      ["Connection", "close, X-Hop", "X-Hop", "1", "TE", "gzip", "X-Own", "2"],
      { endpoint, deadlineMs: 1, rank: 0, bodyBytes: 0 },
    );
    assert.ok(
      !attemptHeaders.includes("X-Hop") && !attemptHeaders.includes("TE"),
    );
    assert.ok(attemptHeaders.includes("X-Own"));
  });

  it("replaces the model only if one was chosen", () => {
    const headers = ["Model", "*", "Prefix-Hash", "a:1"];
    const facts = { endpoint, deadlineMs: 1, rank: 0, bodyBytes: 0 };
    const withModel = platformWire.createAttemptHeaders(headers, {
      ...facts,
      model: "small",
    });
    assert.deepEqual(withModel.slice(0, 4), [
      "Model",
      "small",
      "Prefix-Hash",
      "a:1",
    ]);
    const withoutModel = platformWire.createAttemptHeaders(headers, facts);
    assert.equal(withoutModel[1], "*");
  });
});
