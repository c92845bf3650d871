import assert from "node:assert/strict";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { performance } from "node:perf_hooks";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { credentials } from "@grpc/grpc-js";
import { ResultAsync } from "neverthrow";
import type { ConfigView } from "../configuration/config_view.js";
import { createDispatch, createTestState } from "../core/gate_fixtures_test.js";
import { createRefusal } from "../core/index.js";
import { waitFor } from "../runtime/run_with_timeout.js";
import { GateClient } from "../schema/index.js";
import { startEndpoint } from "./endpoint.js";
import {
  ANSWER,
  createSettings,
  readFrames,
} from "./endpoint_fixtures_test.js";

const CHILD_ENV_VARIABLE = "HORNBEAMRILL_PAUSE_TEST_CHILD";
const FRESHNESS_MS = 1_000;
const PAUSE_MS = 2_000;
const BACKEND_RUN_MS = 300;

/** Confirmed every 200 ms by a request whose reply takes 100 ms. */
function createConfigView(): ConfigView {
  let confirmedAtMs = performance.now();
  setInterval(() => {
    const sentAtMs = performance.now();
    setTimeout(() => {
      confirmedAtMs = sentAtMs;
    }, 100);
  }, 200);
  return {
    state: createTestState(),
    checkFreshness: () =>
      performance.now() - confirmedAtMs > FRESHNESS_MS
        ? createRefusal("isolated", "Confirmation is too old")
        : undefined,
    fetchRevision: async () => {},
    addListener() {},
  };
}

async function runChild(): Promise<void> {
  let runCount = 0;
  const endpoint = await startEndpoint({
    settings: createSettings({ slots: 1, slotsWhileCold: 1 }),
    config: createConfigView(),
    backend: () => {
      runCount += 1;
      const answer = { ...ANSWER, outputTokens: runCount };
      return ResultAsync.fromSafePromise(
        waitFor(BACKEND_RUN_MS).then(() => answer),
      );
    },
    receipts: { hold: () => false, release() {} },
    log: { info() {}, warn() {}, error() {} },
    signal: new AbortController().signal,
  });
  endpoint.applyLoadReport({
    startId: "s1",
    cold: false,
    versions: ["small-1"],
  });
  process.send?.({ port: endpoint.port });
}

async function checkPause(child: ChildProcess): Promise<void> {
  const [message] = await once(child, "message");
  const address = `127.0.0.1:${(message as { port: number }).port}`;
  const client = new GateClient(address, credentials.createInsecure());
  const dispatch = (requestId: string, remainingMs = 20_000) =>
    readFrames(client.dispatch(createDispatch({ requestId, remainingMs })));
  const running = dispatch("running");
  const queued = dispatch("queued");
  await waitFor(BACKEND_RUN_MS / 2);
  child.kill("SIGSTOP");
  const sentInPause = dispatch("sent-in-pause", PAUSE_MS / 2);
  await waitFor(PAUSE_MS);
  child.kill("SIGCONT");
  assert.equal((await running).at(-1)?.end?.outputTokens, 1);
  assert.equal((await queued).at(-1)?.refusal?.code, "isolated");
  assert.equal((await sentInPause).at(-1)?.refusal?.ran, "no");
  await waitFor(FRESHNESS_MS / 2);
  // This is the second run: neither of the two refused requests ran.
  assert.equal((await dispatch("later")).at(-1)?.end?.outputTokens, 2);
  client.close();
}

if (process.env[CHILD_ENV_VARIABLE] === "1") {
  await runChild();
} else {
  describe("endpoint after SIGSTOP", { timeout: 20_000 }, () => {
    it("runs nothing based on a confirmation from before the pause", async () => {
      const { NODE_TEST_CONTEXT: _context, ...parentEnv } = process.env;
      const env = { ...parentEnv, [CHILD_ENV_VARIABLE]: "1" };
      const child = fork(fileURLToPath(import.meta.url), {
        env,
        silent: true,
      });
      try {
        await checkPause(child);
      } finally {
        child.kill("SIGKILL");
      }
    });
  });
}
