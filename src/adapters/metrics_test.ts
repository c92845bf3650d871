import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { describe, it } from "node:test";
import { createMetrics, METRICS } from "./metrics.js";

const SETTINGS = { name: "e1", role: "entry", dataCentre: "dc1" } as const;

describe("metrics", { timeout: 20_000 }, () => {
  it("sends counts, times and gauges with their tags over UDP", async () => {
    const socket = createSocket("udp4");
    socket.bind(0, "127.0.0.1");
    await once(socket, "listening");
    const controller = new AbortController();
    const address = { address: "127.0.0.1", port: socket.address().port };
    const metrics = createMetrics(address, SETTINGS, controller.signal);
    metrics.addCount(METRICS.requests, { class: "chat" });
    metrics.addCount(METRICS.cost, { class: "chat" }, 0.25);
    metrics.recordTime(METRICS.firstByte, 12);
    metrics.setGauge(METRICS.limit, 8);
    const [data] = await once(socket, "message");
    const lines = String(data).trim().split("\n");
    const common = "role:entry,name:e1,data_centre:dc1";
    assert.deepEqual(
      lines.map((line) => line.split("|#")[0]),
      [
        "hornbeamrill.requests:1|c",
        "hornbeamrill.cost:0.25|c",
        "hornbeamrill.request.first_byte_ms:12|ms",
        "hornbeamrill.endpoint.limit:8|g",
      ],
    );
    for (const line of lines) {
      for (const tag of common.split(",")) assert.ok(line.includes(tag));
    }
    assert.ok(lines[0]?.includes("class:chat"));
    controller.abort();
    socket.close();
  });

  it("drops metrics without an address, or when no server listens", async () => {
    const controller = new AbortController();
    const closedAddress = { address: "127.0.0.1", port: 9 };
    for (const address of [undefined, closedAddress]) {
      const metrics = createMetrics(address, SETTINGS, controller.signal);
      metrics.addCount(METRICS.requests);
      metrics.setGauge(METRICS.limit, 1);
    }
    controller.abort();
  });
});
