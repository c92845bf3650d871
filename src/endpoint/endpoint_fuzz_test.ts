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
  type Rig,
  readFrames,
  startRig,
} from "./endpoint_fixtures_test.js";

/** Attach streams without an end, so it is left out. */
const METHODS = Object.values(GateService).filter(
  (method) => method !== GateService.attach,
);
const TIME_LIMIT = { numRuns: 150, interruptAfterTimeLimit: 10_000, seed: 5 };

const text = fc.oneof(
  fc.constantFrom("", "__proto__", "constructor", "pumps", "small-1", "orders"),
  fc.string({ unit: "binary", maxLength: 400 }),
);
const uint32 = fc.oneof(fc.constantFrom(0, 1, 4_294_967_295), fc.nat());

const VALID = createDispatch({});
const FIELDS = Object.keys(VALID) as (keyof DispatchRequest)[];

function createExtremes(field: keyof DispatchRequest): fc.Arbitrary<unknown> {
  if (field === "body") return fc.uint8Array({ maxLength: 100 });
  if (field === "revision") {
    return fc.constantFrom(0, 9, 10, Number.MAX_SAFE_INTEGER);
  }
  if (typeof VALID[field] === "string") return text;
  return typeof VALID[field] === "number" ? uint32 : fc.boolean();
}

/** A valid dispatch with some fields replaced. */
const dispatch = fc.subarray(FIELDS, { maxLength: 3 }).chain((fields) =>
  fc
    .tuple(fc.uuid(), ...fields.map(createExtremes))
    .map(([requestId, ...values]) => ({
      ...createDispatch({ requestId: String(requestId) }),
      ...Object.fromEntries(fields.map((field, i) => [field, values[i]])),
    })),
);

/** Sends bytes that may be no message; gives the gRPC error, if any. */
function sendBytes(
  { client }: Rig,
  method: (typeof METHODS)[number],
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

async function assertServes({ client }: Rig): Promise<void> {
  const request = createDispatch({ requestId: "last" });
  const frames = await readFrames(client.dispatch(request));
  assert.equal(frames.at(-1)?.end?.status, 200);
}

describe("endpoint under malformed messages", { timeout: 20_000 }, () => {
  it("answers extreme fields with a typed refusal", async () => {
    const rig = await startRig(() => okAsync(ANSWER));
    const codes = new Set<string>();
    await fc.assert(
      fc.asyncProperty(dispatch, async (request) => {
        const frames = await readFrames(rig.client.dispatch(request));
        const last = frames.at(-1);
        const code = last?.refusal?.code ?? "";
        codes.add(code);
        assert.ok(last?.end !== undefined || isRefusalCode(code));
        assert.equal(frames.filter((f) => f.chunk === undefined).length, 1);
      }),
      TIME_LIMIT,
    );
    for (const code of ["bad-request", "not-allowed", "stale-revision", ""]) {
      assert.ok(codes.has(code), `"${code}" was not reached`);
    }
    await assertServes(rig);
  });

  it("survives bytes that are no message", async () => {
    const rig = await startRig(() => okAsync(ANSWER));
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(...METHODS),
        fc.uint8Array({ maxLength: 200 }),
        async (method, bytes) => {
          const error = await sendBytes(rig, method, bytes);
          // 4 is DEADLINE_EXCEEDED: the call was left without an answer.
          assert.notEqual(error?.code, 4);
        },
      ),
      TIME_LIMIT,
    );
    await assertServes(rig);
  });
});
