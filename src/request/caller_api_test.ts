import assert from "node:assert/strict";
import { request as requestHttp } from "node:http";
import { describe, it } from "node:test";
import { waitUntil } from "../standins/testing.js";
import {
  type ChatCall,
  sendChat,
  sendServiceCall,
} from "../testbed/callers.js";
import { callHttp } from "../testbed/http_calls.js";
import { startSmallSystem } from "../testbed/small_system_test.js";

interface ServiceRecord {
  runs: { requestId: string; idempotencyKey?: string }[];
}

describe("callers' HTTP API of a running system", { timeout: 60_000 }, () => {
  it("answers, bills and logs as documented", async (t) => {
    const system = await startSmallSystem(t);
    const { callerPort: port, logLines: lines, service, engine } = system;
    const apiKey = "key-of-installers";
    const call: ChatCall = {
      port,
      apiKey,
      requestClass: "part_match",
      prompt: "which seal fits",
      maxTokens: 6,
      stream: false,
    };

    for (const stream of [false, true]) {
      const answer = await sendChat({ ...call, stream });
      assert.equal(answer.kind, "answered");
      assert.ok(answer.kind === "answered" && answer.isWhole);
      const line = lines.find(
        (text) =>
          text.startsWith("request ") && text.includes(answer.requestId),
      );
      const fields = JSON.parse(line?.replace(/^request /, "") ?? "{}");
      const { attempts, endpoint, endpointDataCentre, revision, code } = fields;
      assert.deepEqual(
        {
          attempts: attempts >= 1,
          endpoint,
          endpointDataCentre,
          revision,
          code,
        },
        {
          attempts: true,
          endpoint: "engine-a",
          endpointDataCentre: "dc1",
          revision: 1,
          code: "ok",
        },
      );
      assert.ok(
        fields.firstByteMs <= fields.ms && fields.account === "installers",
      );
    }

    // A session by its token alone, by its id alone, and with too long an id.
    const first = await sendChat({ ...call, session: "s1" });
    assert.ok(first.kind === "answered" && first.sessionToken !== undefined);
    const { version, sessionToken } = first;
    const byToken = await sendChat({ ...call, sessionToken });
    assert.ok(byToken.kind === "answered" && byToken.version === version);
    const byId = await sendChat({ ...call, session: "s1" });
    assert.ok(byId.kind === "answered" && byId.version === version);
    const long = await sendChat({ ...call, session: "s".repeat(2_000) });
    assert.ok(long.kind === "refused" && long.code === "bad-request");

    // A withdrawal moves the session, and the answer has the reason.
    const state = JSON.parse((await system.callOperator("/state")).text);
    const versions = [{ ...state.versions[version], state: "withdrawn" }];
    await system.callOperator("/tickets", { number: 2, versions });
    const moved = await sendChat({ ...call, sessionToken });
    assert.ok(moved.kind === "answered" && moved.sessionMoved === "withdrawn");
    assert.notEqual(moved.version, version);

    // A non-idempotent call runs once per key; another body is refused.
    const order = {
      port,
      apiKey,
      service: "order",
      path: "calls",
      body: { pumps: 1 },
      idempotencyKey: "k1",
    };
    const placed = await sendServiceCall(order);
    const repeated = await sendServiceCall(order);
    assert.ok(placed.kind === "answered" && repeated.kind === "answered");
    assert.equal(placed.text, repeated.text);
    const reused = await sendServiceCall({ ...order, body: { pumps: 2 } });
    assert.ok(reused.kind === "refused" && reused.code === "key-reused");
    const { runs } = await service.readRecord<ServiceRecord>();
    assert.equal(runs.filter((run) => run.idempotencyKey === "k1").length, 1);

    // When a caller disconnects, its request is aborted.
    await engine.control({ speedFactor: 0.01 });
    const body = JSON.stringify({
      messages: [{ role: "user", content: "x" }],
      stream: true,
      max_tokens: 500,
    });
    const headers = { authorization: `Bearer ${apiKey}` };
    const path = "/v1/chat/completions";
    const abandoned = requestHttp({ port, path, method: "POST", headers });
    abandoned.on("error", () => {
      // The test destroys the request below.
    });
    abandoned.end(body);
    const readOpenRequests = async () =>
      JSON.parse((await system.callOperator("/status")).text).openRequests;
    await waitUntil(async () => (await readOpenRequests()) === 1);
    abandoned.destroy();
    await waitUntil(async () => (await readOpenRequests()) === 0);
    assert.ok(lines.some((line) => /^request .*outcome-unknown/.test(line)));
    await engine.control({ speedFactor: 1 });

    // A refusal says when to retry.
    const drained = { number: 3, dataCentres: [{ name: "dc1", state: "out" }] };
    await system.callOperator("/tickets", drained);
    const refused = await callHttp({
      port,
      method: "POST",
      path,
      headers,
      body: { messages: [{ role: "user", content: "x" }] },
    });
    assert.ok([429, 503].includes(refused.status), refused.text);
    assert.ok(Number(refused.headers["retry-after"]) >= 1);
    assert.equal(JSON.parse(refused.text).ran, "no");
  });
});
