import assert from "node:assert/strict";
import { once } from "node:events";
import { performance } from "node:perf_hooks";
import { describe, it } from "node:test";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import {
  createDispatch,
  NON_IDEMPOTENT_CALL,
} from "../core/gate_fixtures_test.js";
import { waitFor } from "../runtime/run_with_timeout.js";
import type {
  EndpointStatus,
  GateClient,
  LookUpAttemptReply,
  LookUpAttemptRequest,
} from "../schema/index.js";
import {
  ANSWER,
  createSlowBackend,
  readEpoch,
  readFrames,
  STOP_TIMEOUT_MS,
  startTestEndpoint,
} from "./endpoint_fixtures_test.js";

function lookUp(
  client: GateClient,
  request: LookUpAttemptRequest,
): Promise<LookUpAttemptReply> {
  return new Promise((resolve, reject) => {
    client.lookUpAttempt(request, (error, reply) =>
      error === null ? resolve(reply) : reject(error),
    );
  });
}

describe("endpoint over gRPC", { timeout: 20_000 }, () => {
  it("streams numbered frames with one last frame, and resumes the stream", async () => {
    const { client } = await startTestEndpoint((_request, onChunk) => {
      onChunk(Buffer.from("a"));
      onChunk(Buffer.from("b"));
      return okAsync(ANSWER);
    });
    const frames = await readFrames(client.dispatch(createDispatch({})));
    assert.deepEqual(
      frames.map((frame) => frame.sequence),
      [0, 1, 2],
    );
    assert.equal(frames[2]?.end?.chunks, 2);
    const resumed = await readFrames(
      client.resume({ requestId: "r1", attempt: 1, fromSequence: 1 }),
    );
    assert.deepEqual(resumed, frames.slice(1));
    // Neither may look like a complete answer or like one that did not run.
    for (const position of [
      { requestId: "r1", attempt: 1, fromSequence: 4 },
      { requestId: "r9", attempt: 1, fromSequence: 0 },
    ]) {
      const [refused] = await readFrames(client.resume(position));
      assert.equal(refused?.refusal?.ran, "unknown");
    }
  });

  it("runs a non-idempotent call once and reports its result to a look-up", async () => {
    let runCount = 0;
    const { client } = await startTestEndpoint(() => {
      runCount += 1;
      return okAsync(ANSWER);
    }, "service");
    const epoch = await readEpoch(client);
    const request = createDispatch({ ...NON_IDEMPOTENT_CALL, epoch });
    const frames = await readFrames(client.dispatch(request));
    assert.equal(frames.at(-1)?.end?.status, 200);
    const repeated = await readFrames(client.dispatch(request));
    assert.equal(repeated[0]?.refusal?.code, "in-progress");
    assert.equal(runCount, 1);
    const reply = await lookUp(client, { requestId: "o1", attempt: 1, epoch });
    assert.equal(reply.state, "ended");
    assert.equal(reply.lastFrame?.end?.status, 200);
  });

  it("reports a broken non-idempotent call as unknown, never as not run", async () => {
    const { client } = await startTestEndpoint(
      () => errAsync({ kind: "broken", ran: "unknown", detail: "reset" }),
      "service",
    );
    const epoch = await readEpoch(client);
    const [frame] = await readFrames(
      client.dispatch(createDispatch({ ...NON_IDEMPOTENT_CALL, epoch })),
    );
    assert.equal(frame?.refusal?.code, "outcome-unknown");
    assert.equal(frame?.refusal?.ran, "unknown");
  });

  it("fetches a higher revision, and refuses one that it can't fetch", async () => {
    const { client, fakeConfig } = await startTestEndpoint(() =>
      okAsync(ANSWER),
    );
    const [end] = await readFrames(
      client.dispatch(createDispatch({ revision: 9 })),
    );
    assert.equal(end?.end?.status, 200);
    assert.equal(fakeConfig.state.revision, 9);
    const [refused] = await readFrames(
      client.dispatch(createDispatch({ requestId: "r2", revision: 10 })),
    );
    assert.equal(refused?.refusal?.code, "stale-revision");
    assert.equal(refused?.refusal?.ran, "no");
  });

  it("announces that it stops, refuses new work and finishes running work", async () => {
    const slowBackend = createSlowBackend();
    const { client, stop, endpoint } = await startTestEndpoint(slowBackend.run);
    const statuses: EndpointStatus[] = [];
    const attached = client.attach({
      entry: "e1",
      incarnation: "i1",
      statusPeriodMs: 0,
    });
    attached.on("error", () => undefined);
    attached.on("data", (status) => statuses.push(status));
    const running = client.dispatch(createDispatch({}));
    await new Promise((resolve) => setTimeout(resolve, 100));
    stop.abort();
    const [refused] = await readFrames(
      client.dispatch(createDispatch({ requestId: "r2" })),
    );
    assert.equal(refused?.refusal?.code, "stopping");
    assert.ok((refused?.refusal?.retryAfterMs ?? 0) > 0);
    assert.equal(statuses.at(-1)?.leaving, true);
    slowBackend.release();
    const frames = await readFrames(running);
    assert.equal(frames.at(-1)?.end?.status, 200);
    await endpoint.stopped;
  });

  it("stops within the stop timeout even if a call never ends", async () => {
    const slowBackend = createSlowBackend();
    const signals: AbortSignal[] = [];
    const { client, stop, endpoint } = await startTestEndpoint((...call) => {
      signals.push(call[2]);
      return slowBackend.run(...call);
    });
    const dispatch = (requestId: string) =>
      readFrames(client.dispatch(createDispatch({ requestId })));
    const running = [dispatch("r1"), dispatch("r2")].map((frames) =>
      frames.catch(() => []),
    );
    const queued = dispatch("r3");
    await waitFor(100);
    const stopRequestedAtMs = performance.now();
    stop.abort();
    const [refused] = await queued;
    assert.equal(refused?.refusal?.code, "stopping");
    assert.equal(refused?.refusal?.ran, "no");
    await endpoint.stopped;
    assert.ok(performance.now() - stopRequestedAtMs < STOP_TIMEOUT_MS + 300);
    // The back end must not continue calls whose callers are gone.
    assert.deepEqual(
      signals.map(({ aborted }) => aborted),
      [true, true],
    );
    // The aborted calls may have run, so none is answered as "not run".
    for (const frames of await Promise.all(running)) {
      assert.notEqual(frames.at(-1)?.refusal?.ran, "no");
    }
  });

  it("aborts a cancelled idempotent call but not a non-idempotent one", async () => {
    let abortCount = 0;
    const { client } = await startTestEndpoint(
      ({ requestId }, _onChunk, signal) => {
        const aborted = once(signal, "abort").then(() => {
          abortCount += 1;
          return ANSWER;
        });
        const ended = waitFor(200).then(() => ANSWER);
        const isNonIdempotent = requestId === "o1";
        return ResultAsync.fromSafePromise(
          isNonIdempotent ? Promise.race([ended, aborted]) : aborted,
        );
      },
      "service",
    );
    const idempotentCall = {
      ...NON_IDEMPOTENT_CALL,
      service: "stock",
      idempotent: true,
    };
    const running = [
      readFrames(
        client.dispatch(createDispatch({ ...idempotentCall, requestId: "s1" })),
      ),
      readFrames(
        client.dispatch(
          createDispatch({
            ...NON_IDEMPOTENT_CALL,
            epoch: await readEpoch(client),
          }),
        ),
      ),
    ];
    await waitFor(50);
    for (const requestId of ["s1", "o1"]) {
      client.cancel({ requestId, attempt: 1 }, () => undefined);
    }
    await Promise.all(running);
    assert.equal(abortCount, 1);
  });
});
