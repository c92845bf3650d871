import assert from "node:assert/strict";
import { request as sendRequest } from "node:http";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { Exchange, News, NewsQuestion } from "../schema/exchange/index.js";
import { type BuiltEntry, BuiltSystem } from "./built_entry_fixtures_test.js";

/** Several rounds of messages between entries, ms. */
const ROUNDS_MS = 1_200;

/** The sender, and what one message may list. */
const MAX_FOUND = 1 + 200;

const PLACE = {
  name: "entry-9",
  incarnation: "a1",
  address: "127.0.0.1",
  port: 9,
  dataCentre: "dc1",
  ageMs: 0,
};
const PARTS = ["part"];
const HOLD = { parts: PARTS, isHeld: true, ageMs: 0 };

/** Entries of another build, or faulty ones, may send any of these. */
const ODD_MESSAGES: Readonly<
  Record<string, Parameters<typeof Exchange.fromPartial>[0]>
> = {
  "with port 70000": { sender: { ...PLACE, port: 70_000 } },
  "with port 0": { sender: { ...PLACE, port: 0 } },
  "that lists port 70000": {
    sender: PLACE,
    peers: [{ ...PLACE, name: "entry-8", port: 70_000 }],
  },
  "with an address that is none": {
    sender: { ...PLACE, address: "no address\r\n" },
  },
  "with a name of 1 MB": { sender: { ...PLACE, name: "e".repeat(1_000_000) } },
  "with 100,000 places": {
    sender: PLACE,
    peers: Array.from({ length: 100_000 }, (_, i) => ({
      ...PLACE,
      name: `p-${i}`,
    })),
  },
  "with a configuration version without end": {
    sender: PLACE,
    configVersion: Number.POSITIVE_INFINITY,
  },
  "with a configuration version that is no number": {
    sender: PLACE,
    configVersion: Number.NaN,
  },
  "with 5,000 holds": {
    sender: PLACE,
    holds: Array.from({ length: 5_000 }, (_, i) => ({
      ...HOLD,
      parts: [`part-${i}`],
    })),
  },
  "with the most counts of a hold": {
    sender: PLACE,
    holds: [{ ...HOLD, crashes: 2 ** 32 - 1, failedTrials: 2 ** 32 - 1 }],
  },
  "with crashes of 10,000 prompts": {
    sender: PLACE,
    crashes: [
      {
        endpoint: "i-1",
        ageMs: 0,
        prompts: Array.from({ length: 10_000 }, (_, i) => ({
          ids: [`id-${i}`],
          runMs: 0,
        })),
      },
    ],
  },
  "with rates that are no numbers": {
    sender: PLACE,
    limits: [Number.NaN, Number.POSITIVE_INFINITY, -1, 1e300].map(
      (perSecond) => ({
        endpoint: "i-1",
        startedAtMs: 0,
        isLimited: true,
        perSecond,
        ageMs: 0,
      }),
    ),
  },
};

function send(port: number, path: string, data: Uint8Array): Promise<number> {
  return new Promise((resolve) => {
    const outgoing = sendRequest({
      host: "127.0.0.1",
      port,
      path,
      method: "POST",
      agent: false,
      headers: { "content-length": data.length },
    });
    outgoing.once("response", (answer) => {
      answer.resume();
      answer.once("close", () => resolve(answer.statusCode ?? 0));
    });
    outgoing.once("error", () => resolve(0));
    outgoing.end(data);
  });
}

// A number that Node refuses was an error that nobody handled, and ended the
// process, and the message was passed on to all others.
describe("an odd message of another entry", () => {
  let system: BuiltSystem;
  let entry: BuiltEntry;
  beforeEach(async () => {
    system = new BuiltSystem();
    await system.start();
    await system.startEndpoint("i-1");
    entry = await system.startEntry();
  });
  afterEach(async () => await system.close());

  const countLines = (event: string) =>
    system.readLog().split(`event=${event} `).length - 1;

  async function expectServes(): Promise<void> {
    await delay(ROUNDS_MS);
    assert.equal(entry.exit, undefined, system.readLog().slice(-500));
    const { status } = await entry.call("/safe/a", "r-1");
    assert.equal(status, 200);
  }

  for (const [name, odd] of Object.entries(ODD_MESSAGES)) {
    it(`${name} does not end it`, async () => {
      const data = Exchange.encode(Exchange.fromPartial(odd)).finish();
      const { control } = entry.ports;
      for (let i = 0; i < 10; i++) {
        assert.equal(await send(control, "/exchange", data), 200);
      }
      await expectServes();
      assert.ok(countLines("peer-found") <= MAX_FOUND, "odd places were taken");
      assert.ok(countLines("peer-message-odd") <= 1, "too many lines");
    });
  }

  it("with a question for news of odd numbers does not end it", async () => {
    for (const era of [Number.NaN, Number.POSITIVE_INFINITY, -1, 1e300]) {
      const data = NewsQuestion.encode({
        era,
        waitMs: 2 ** 32 - 1,
        positions: [era, 0].map((revision) => ({ kind: "config", revision })),
      }).finish();
      await send(entry.ports.control, "/news", data);
    }
    system.store.put("servers", "gone", {});
    await expectServes();
    assert.equal(countLines("store-restored"), 0);
  });

  // Its reader names revisions and eras, and the entry follows it.
  it("with news of odd numbers does not end it", async () => {
    const news = News.encode({
      era: Number.POSITIVE_INFINITY,
      waitedMs: 2 ** 32 - 1,
      views: ["config", "servers", "rollouts", "evacuations"].map((kind) => ({
        kind,
        revision: Number.POSITIVE_INFINITY,
        ageMs: 0,
        isComplete: true,
        isLost: false,
        changes: [Buffer.from("[]")],
      })),
    }).finish();
    const port = await system.startRawServer((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${news.length}\r\n\r\n`);
      socket.write(news);
    });
    const sender = { ...PLACE, name: "a-reader", port };
    const data = Exchange.encode(Exchange.fromPartial({ sender })).finish();
    await send(entry.ports.control, "/exchange", data);
    await expectServes();
    await system.startEndpoint("i-2");
    await delay(ROUNDS_MS);
    assert.match(system.readLog(), /event=endpoint-added .*endpoint=i-2/);
  });
});
