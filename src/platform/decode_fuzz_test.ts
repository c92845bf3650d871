import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { parseAddress } from "./address.js";
import {
  decodeConfiguration,
  decodeEndpoint,
  decodeRollout,
} from "./decode_config.js";
import { createConfiguration } from "./entry_fixtures_test.js";
import { platformWire } from "./headers.js";
import { decodeSettings } from "./settings.js";
import { decodeEvents, decodeObject, decodePage } from "./store_client.js";

const RUNS = { numRuns: 2_000 };
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
const ROLLOUT = { service: "svc", target: "v2", duration_s: 12 };

function wrap(spec: unknown, status: unknown = null) {
  const metadata = { name: "a", revision: 3, created: 2, deleting: false };
  return { metadata, spec, status };
}

/** Numbers the leaves of a document in order and replaces one of them. */
function replaceLeaf(document: unknown, index: number, value: unknown) {
  let seen = 0;
  const text = JSON.stringify(document, (_key, item: unknown) => {
    if (typeof item === "object" && item !== null) return item;
    return seen++ === index ? value : item;
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

/** Replaces one value somewhere in a document by an arbitrary one. */
function spoil(document: unknown): fc.Arbitrary<unknown> {
  return fc
    .tuple(
      fc.nat({ max: countLeaves(document) - 1 }),
      fc.oneof(fc.jsonValue(), fc.constant(undefined)),
    )
    .map(([index, value]) => replaceLeaf(document, index, value));
}

function checkTyped(
  decode: (value: unknown) => { isOk(): boolean; isErr(): boolean },
  value: unknown,
): void {
  const result = decode(value);
  assert.ok(result.isOk() || result.isErr());
}

// A writer of another make must not end a process or bring in half a record.
describe("decoding what comes from outside", () => {
  const decodeSpec =
    <T>(decode: (object: ReturnType<typeof toObject>) => T) =>
    (value: unknown): T =>
      decode(toObject(value));
  const toObject = (spec: unknown) => ({
    name: "a",
    revision: 3,
    created: 2,
    isDeleting: false,
    spec,
    status: null,
  });
  const decoders: Record<
    string,
    [(value: unknown) => { isOk(): boolean; isErr(): boolean }, unknown]
  > = {
    object: [decodeObject, wrap(ENDPOINT)],
    page: [decodePage, { items: [wrap(ENDPOINT)], has_more: false, at: 4 }],
    events: [
      decodeEvents,
      { events: [{ deleted: false, object: wrap(ENDPOINT) }], at: 4 },
    ],
    configuration: [decodeConfiguration, createConfiguration()],
    endpoint: [decodeSpec(decodeEndpoint), ENDPOINT],
    rollout: [decodeSpec(decodeRollout), ROLLOUT],
  };
  for (const [name, [decode, valid]] of Object.entries(decoders)) {
    it(`${name}: a typed result for every value`, () => {
      assert.ok(decode(valid).isOk());
      fc.assert(
        fc.property(fc.oneof(fc.jsonValue(), spoil(valid)), (value) =>
          checkTyped(decode, value),
        ),
        RUNS,
      );
    });
  }

  it("endpoint: never a record with a hole", () => {
    fc.assert(
      fc.property(spoil(ENDPOINT), (spec) => {
        const record = decodeEndpoint(toObject(spec));
        if (record.isErr()) return;
        const { id, service, address, port, dataCentre, version, slots } =
          record.value;
        for (const text of [id, service, address, dataCentre, version]) {
          assert.ok(typeof text === "string" && text !== "");
        }
        assert.ok(Number.isInteger(port) && slots >= 1);
      }),
      RUNS,
    );
  });

  it("settings: a typed result for every text", () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        assert.ok(decodeSettings(text).isErr());
      }),
      RUNS,
    );
  });

  it("addresses: only numbers of four parts with a port", () => {
    assert.deepEqual(parseAddress("10.0.0.1:80"), {
      address: "10.0.0.1",
      port: 80,
    });
    for (const text of ["", "a:1", "10.0.0.1", "10.0.0.1:0", "1.2.3.4:70000"]) {
      assert.equal(parseAddress(text), undefined);
    }
  });
});

describe("translating heads", () => {
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

  it("reads any head without a failure", () => {
    fc.assert(
      fc.property(fc.array(header), (pairs) => {
        const headers = pairs.flat();
        platformWire.parseRequest("GET", "/a/", headers);
        platformWire.parseAnswer(headers);
        platformWire.createAnswerHeaders(headers);
      }),
      RUNS,
    );
  });

  // A caller could otherwise act for another account or hold an endpoint.
  it("lets no caller set what only the router sets", () => {
    const own = [
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
    const headers = own.flatMap((name) => [name, "forged"]);
    const sent = platformWire.createAttemptHeaders(headers, {
      endpoint,
      deadlineMs: 100,
      account: "farm",
      rank: 2,
      bodyBytes: 0,
    });
    assert.ok(!sent.includes("forged"));
  });

  it("drops what concerns one connection, named ones too", () => {
    const sent = platformWire.createAttemptHeaders(
      ["Connection", "close, X-Hop", "X-Hop", "1", "TE", "gzip", "X-Own", "2"],
      { endpoint, deadlineMs: 1, rank: 0, bodyBytes: 0 },
    );
    assert.ok(!sent.includes("X-Hop") && !sent.includes("TE"));
    assert.ok(sent.includes("X-Own"));
  });

  it("replaces the model only where the route has sizes", () => {
    const headers = ["Model", "*", "Prefix-Hash", "a:1"];
    const facts = { endpoint, deadlineMs: 1, rank: 0, bodyBytes: 0 };
    const sized = platformWire.createAttemptHeaders(headers, {
      ...facts,
      model: "small",
    });
    assert.deepEqual(sized.slice(0, 4), [
      "Model",
      "small",
      "Prefix-Hash",
      "a:1",
    ]);
    const plain = platformWire.createAttemptHeaders(headers, facts);
    assert.equal(plain[1], "*");
  });
});
