import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Metadata, type ServiceError } from "@grpc/grpc-js";
import fc from "fast-check";
import { okAsync } from "neverthrow";
import { createDispatch } from "../core/gate_fixtures_test.js";
import { isRefusalCode } from "../core/index.js";
import { type DispatchRequest, GateService } from "../schema/index.js";
import {
  ANSWER,
  readFrames,
  startTestEndpoint,
  type TestEndpoint,
} from "./endpoint_fixtures_test.js";

/** All methods but `attach`, whose stream never ends. */
const TESTED_METHODS = Object.values(GateService).filter(
  (method) => method !== GateService.attach,
);
const FUZZ_OPTIONS = { numRuns: 150, interruptAfterTimeLimit: 10_000, seed: 5 };

const textValues = fc.oneof(
  fc.constantFrom("", "__proto__", "constructor", "pumps", "small-1", "orders"),
  fc.string({ unit: "binary", maxLength: 400 }),
);
const uint32Values = fc.oneof(fc.constantFrom(0, 1, 4_294_967_295), fc.nat());

const VALID_DISPATCH = createDispatch({});
const DISPATCH_FIELDS = Object.keys(
  VALID_DISPATCH,
) as (keyof DispatchRequest)[];

function createExtremeValues(
  field: keyof DispatchRequest,
): fc.Arbitrary<unknown> {
  if (field === "body") return fc.uint8Array({ maxLength: 100 });
  if (field === "revision") {
    return fc.constantFrom(0, 9, 10, Number.MAX_SAFE_INTEGER);
  }
  if (typeof VALID_DISPATCH[field] === "string") return textValues;
  return typeof VALID_DISPATCH[field] === "number"
    ? uint32Values
    : fc.boolean();
}

/** A valid dispatch with some fields replaced. */
const dispatches = fc
  .subarray(DISPATCH_FIELDS, { maxLength: 3 })
  .chain((fields) =>
    fc
      .tuple(fc.uuid(), ...fields.map(createExtremeValues))
      .map(([requestId, ...values]) => ({
        ...createDispatch({ requestId: String(requestId) }),
        ...Object.fromEntries(fields.map((field, i) => [field, values[i]])),
      })),
  );

/** Sends bytes that may not decode; returns the gRPC error, if any. */
function sendBytes(
  { client }: TestEndpoint,
  method: (typeof TESTED_METHODS)[number],
  bytes: Uint8Array,
): Promise<ServiceError | null> {
  const send = () => Buffer.from(bytes);
  const receive = (data: Buffer) => data;
  const metadata = new Metadata();
  const options = { deadline: Date.now() + 300 };
  const { path } = method;
  return new Promise((resolve) => {
    if (!method.responseStream) {
      client.makeUnaryRequest(
        path,
        send,
        receive,
        bytes,
        metadata,
        options,
        resolve,
      );
      return;
    }
    client
      .makeServerStreamRequest(path, send, receive, bytes, metadata, options)
      .on("data", () => undefined)
      .on("end", () => resolve(null))
      .on("error", (error) => resolve(error as ServiceError));
  });
}

async function assertServes({ client }: TestEndpoint): Promise<void> {
  const request = createDispatch({ requestId: "last" });
  const frames = await readFrames(client.dispatch(request));
  assert.equal(frames.at(-1)?.end?.status, 200);
}

describe("endpoint under malformed messages", { timeout: 20_000 }, () => {
  it("answers extreme fields with a typed refusal", async () => {
    const testEndpoint = await startTestEndpoint(() => okAsync(ANSWER));
    const codes = new Set<string>();
    await fc.assert(
      fc.asyncProperty(dispatches, async (request) => {
        const frames = await readFrames(testEndpoint.client.dispatch(request));
        const last = frames.at(-1);
        const code = last?.refusal?.code ?? "";
        codes.add(code);
        assert.ok(last?.end !== undefined || isRefusalCode(code));
        assert.equal(
          frames.filter((frame) => frame.chunk === undefined).length,
          1,
        );
      }),
      FUZZ_OPTIONS,
    );
    for (const code of ["bad-request", "not-allowed", "stale-revision", ""]) {
      assert.ok(codes.has(code), `no request led to code "${code}"`);
    }
    await assertServes(testEndpoint);
  });

  it("stays available after bytes that do not decode", async () => {
    const testEndpoint = await startTestEndpoint(() => okAsync(ANSWER));
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(...TESTED_METHODS),
        fc.uint8Array({ maxLength: 200 }),
        async (method, bytes) => {
          const error = await sendBytes(testEndpoint, method, bytes);
          // 4 is DEADLINE_EXCEEDED: the endpoint did not answer the call.
          assert.notEqual(error?.code, 4);
        },
      ),
      FUZZ_OPTIONS,
    );
    await assertServes(testEndpoint);
  });
});
