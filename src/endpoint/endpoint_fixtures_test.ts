/** An endpoint on 127.0.0.1 with a fake back end, for tests. */

import { afterEach } from "node:test";
import { credentials } from "@grpc/grpc-js";
import { ResultAsync } from "neverthrow";
import { createTestState } from "../core/gate_fixtures_test.js";
import type { Refusal } from "../core/index.js";
import {
  type EndpointStatus,
  type FleetState,
  type Frame,
  GateClient,
  type Settings,
} from "../schema/index.js";
import { type Endpoint, startEndpoint } from "./endpoint.js";
import type { BackendAnswer, RunBackend } from "./run_backend.js";

export const STOP_TIMEOUT_MS = 2_000;

const SILENT_LOG = { info() {}, warn() {}, error() {} };

export const ANSWER: BackendAnswer = {
  status: 200,
  promptTokens: 7,
  outputTokens: 2,
  body: new Uint8Array(),
  contentType: "",
};

export function createSettings(
  slots: { slots: number; slotsWhileCold: number },
  kind: "model" | "service" = "model",
): Settings {
  const connection = { address: "127.0.0.1", port: 1, ...slots };
  return {
    role: "endpoint",
    name: "ep1",
    host: "h1",
    dataCentre: "dc1",
    listen: { address: "127.0.0.1", controlPort: 0 },
    hostList: { address: "127.0.0.1", port: 1 },
    limits: { stopMs: STOP_TIMEOUT_MS },
    ...(kind === "model"
      ? { engine: connection }
      : { service: { ...connection, names: ["orders", "stock"] } }),
  };
}

export interface TestEndpoint {
  client: GateClient;
  endpoint: Endpoint;
  stop: AbortController;
  fakeConfig: { state: FleetState; refusal: Refusal | undefined };
}

const testEndpoints: TestEndpoint[] = [];

export async function startTestEndpoint(
  backend: RunBackend,
  kind: "model" | "service" = "model",
): Promise<TestEndpoint> {
  const stop = new AbortController();
  const fakeConfig: TestEndpoint["fakeConfig"] = {
    state: createTestState(),
    refusal: undefined,
  };
  const endpoint = await startEndpoint({
    settings: createSettings({ slots: 4, slotsWhileCold: 2 }, kind),
    config: {
      get state() {
        return fakeConfig.state;
      },
      checkFreshness: () => fakeConfig.refusal,
      fetchRevision: async (revision) => {
        if (revision <= 9) fakeConfig.state = { ...fakeConfig.state, revision };
      },
      addListener() {},
    },
    backend,
    receipts: { hold: (request) => request.owner === "e1", release() {} },
    log: SILENT_LOG,
    signal: stop.signal,
  });
  endpoint.applyLoadReport({
    startId: "s1",
    cold: false,
    versions: ["small-1"],
  });
  const address = `127.0.0.1:${endpoint.port}`;
  const client = new GateClient(address, credentials.createInsecure());
  const testEndpoint = { client, endpoint, stop, fakeConfig };
  testEndpoints.push(testEndpoint);
  return testEndpoint;
}

afterEach(async () => {
  for (const { client, stop, endpoint } of testEndpoints.splice(0)) {
    stop.abort();
    await endpoint.stopped;
    client.close();
  }
});

export async function readFrames(
  stream: AsyncIterable<Frame>,
): Promise<Frame[]> {
  const frames: Frame[] = [];
  for await (const frame of stream) frames.push(frame);
  return frames;
}

export async function readEpoch(client: GateClient): Promise<string> {
  const stream = client.attach({
    entry: "e1",
    incarnation: "i1",
    statusPeriodMs: 0,
  });
  stream.on("error", () => undefined);
  const status = await new Promise<EndpointStatus>((resolve) =>
    stream.once("data", resolve),
  );
  stream.cancel();
  return status.epoch;
}

export function createSlowBackend(): { run: RunBackend; release: () => void } {
  let release = () => {};
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  return {
    run: () => ResultAsync.fromSafePromise(released.then(() => ANSWER)),
    release,
  };
}
