import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import {
  MAX_ENDPOINT_SHARE,
  RECEIVED_PER_HOST_MEMORY,
  SENDER,
  SMALL_CHUNKS_AT_ONCE,
} from "./bounds.js";
import { HeldMemory } from "./held_memory.js";
import { BODY_REFUSAL, MemoryBudget } from "./memory_budget.js";
import { ReceivedBody } from "./received_body.js";

const BYTES_PER_MB = 1_048_576;
const HOST_MEMORY_MB = 60;
const CAPACITY_BYTES = RECEIVED_PER_HOST_MEMORY * HOST_MEMORY_MB * BYTES_PER_MB;

describe("a body that arrives", () => {
  let nowMs = 0;
  let budget: MemoryBudget;
  let memory: HeldMemory;
  beforeEach(() => {
    nowMs = 0;
    budget = new MemoryBudget(() => nowMs, HOST_MEMORY_MB);
    memory = new HeldMemory(budget);
  });
  const createBody = (maxBytes = 1_000_000, sender = SENDER.endpoint) =>
    new ReceivedBody({ sender, maxBytes, memory });

  // One faulty endpoint kept the memory from the answers of all others.
  it("gets no more than a share where it is of one endpoint", () => {
    const add = (endpoint: string, bytes: number) =>
      new ReceivedBody({
        sender: SENDER.endpoint,
        maxBytes: CAPACITY_BYTES,
        memory,
        endpoint,
      }).add(Buffer.from(new Uint8Array(bytes).buffer));
    const shareBytes = Math.floor(MAX_ENDPOINT_SHARE * CAPACITY_BYTES);
    const refusals: string[] = [];
    budget.setRefusalListener((_, reason) => refusals.push(reason));
    assert.equal(add("odd", shareBytes), undefined);
    assert.equal(add("odd", 100_000), BODY_REFUSAL.noMemory);
    assert.deepEqual(refusals, ["endpoint-no-memory"]);
    assert.equal(add("odd", 10_000), undefined);
    assert.equal(add("sound", 100_000), undefined);
    memory.release();
    assert.equal(budget.heldBytes, 0);
    memory = new HeldMemory(budget);
    assert.equal(add("odd", shareBytes), undefined);
  });

  // A copy of each usual answer would cost time.
  it("keeps a single chunk as it is", () => {
    const body = createBody();
    const chunk = Buffer.from(new Uint8Array(800).buffer);
    assert.equal(body.add(chunk), undefined);
    assert.equal(body.data, chunk);
    assert.equal(budget.heldBytes, 800);
  });

  // A chunk of a larger buffer keeps all of that in memory.
  it("does not keep the buffer of which a chunk is a part", () => {
    const body = createBody();
    body.add(Buffer.alloc(65_536).subarray(0, 10));
    assert.ok(body.data.buffer.byteLength < 65_536);
    assert.ok(budget.heldBytes < 65_536);
  });

  it("has all its chunks in their order", () => {
    const body = createBody();
    for (let i = 0; i < 5_000; i++) body.add(Buffer.from([i % 251]));
    assert.equal(body.sizeBytes, 5_000);
    assert.ok(body.data.every((byte, i) => byte === i % 251));
  });

  // Lists of chunks were bounded by their bytes, of which each cost 200 more.
  it("holds at most twice its bytes, whatever the chunks", () => {
    const body = createBody();
    for (let i = 0; i < 50_000; i++) body.add(Buffer.from("x"));
    assert.ok(budget.heldBytes <= 100_000, `${budget.heldBytes}`);
  });

  it("gives its memory back when it is larger than its bound", () => {
    const body = createBody(1_000);
    assert.equal(body.add(Buffer.alloc(1_000)), undefined);
    assert.equal(body.add(Buffer.alloc(1)), BODY_REFUSAL.tooLarge);
    assert.equal(budget.heldBytes, 0);
  });

  it("is refused by number where many small chunks come, for a while", () => {
    const body = createBody();
    let chunks = 0;
    while (body.add(Buffer.from("x")) === undefined) chunks++;
    assert.ok(chunks >= SMALL_CHUNKS_AT_ONCE, `${chunks}`);
    assert.ok(chunks < 1.1 * SMALL_CHUNKS_AT_ONCE, `${chunks}`);
    nowMs += 100;
    const later = createBody();
    for (let i = 0; i < 1_000; i++) {
      assert.equal(later.add(Buffer.from("x")), undefined);
    }
  });
});

describe("bodies that stop before their end", () => {
  const LARGE_BYTES = 100_000;
  let nowMs = 0;
  let budget: MemoryBudget;
  const givenUp: number[] = [];
  beforeEach(() => {
    nowMs = 0;
    givenUp.length = 0;
    budget = new MemoryBudget(() => nowMs, HOST_MEMORY_MB);
  });

  /** Adds bodies until their memory is full; returns how they go on. */
  const fill = () => {
    const arrivals = [];
    for (let i = 0; ; i++) {
      const memory = new HeldMemory(budget);
      if (!memory.reserve(SENDER.caller, LARGE_BYTES, LARGE_BYTES))
        return arrivals;
      const arrival = memory.addArrival(() => {
        givenUp.push(i);
        memory.release();
      });
      arrival.addBytes(LARGE_BYTES);
      arrivals.push(arrival);
    }
  };
  const takeMore = () =>
    budget.reserve(SENDER.caller, LARGE_BYTES, LARGE_BYTES);

  // They held the memory for 10 s, and others were refused meanwhile.
  it("give way to others, the first that stopped first", () => {
    fill();
    nowMs += 5_000;
    assert.ok(takeMore());
    assert.ok(takeMore());
    assert.deepEqual(givenUp, [0, 1]);
  });

  it("keep their memory while nobody else needs it", () => {
    fill();
    nowMs += 5_000;
    // Small bodies have some more.
    assert.ok(budget.reserve(SENDER.caller, 800, 800));
    assert.deepEqual(givenUp, []);
  });

  it("keep it while they go on", () => {
    const arrivals = fill();
    for (let i = 0; i < 10; i++) {
      nowMs += 500;
      for (const arrival of arrivals) arrival.addBytes(4_096);
      assert.ok(!takeMore());
    }
    assert.deepEqual(givenUp, []);
  });

  // One byte in each pause held the memory for as long as a body may take.
  it("give way also when a byte comes now and then", () => {
    const [slow, ...others] = fill();
    for (let i = 0; i < 10; i++) {
      nowMs += 500;
      slow?.addBytes(1);
      for (const arrival of others) arrival.addBytes(4_096);
    }
    assert.ok(takeMore());
    assert.ok(!takeMore());
    assert.deepEqual(givenUp, [0]);
  });

  it("keep nothing from others once they are complete", () => {
    for (const arrival of fill()) arrival.end();
    nowMs += 5_000;
    assert.ok(!takeMore());
    assert.deepEqual(givenUp, []);
  });
});

describe("the memory for received data", () => {
  const createBudget = () => new MemoryBudget(() => 0, HOST_MEMORY_MB);
  const LARGE_BYTES = 100_000;

  /** Share of the memory that one sender's large bodies get. */
  const fill = (budget: MemoryBudget, sender: keyof typeof SENDER): number => {
    while (budget.reserve(SENDER[sender], LARGE_BYTES, LARGE_BYTES));
    return budget.heldBytes / CAPACITY_BYTES;
  };

  // Requests that have not run can be refused; a lost answer can't be undone.
  it("is refused to callers first, then to endpoints, to the store last", () => {
    const budget = createBudget();
    const shares = (["caller", "endpoint", "peer", "store"] as const).map(
      (sender) => fill(budget, sender),
    );
    assert.deepEqual(
      shares.map((share) => Math.round(10 * share) / 10),
      [0.6, 0.8, 0.9, 1],
    );
  });

  // Callers that stop within large bodies must not keep out all others.
  it("has room for small bodies when large ones have used it up", () => {
    const budget = createBudget();
    fill(budget, "caller");
    assert.ok(budget.reserve(SENDER.caller, 800, 800));
    assert.ok(!budget.reserve(SENDER.caller, LARGE_BYTES, LARGE_BYTES));
  });

  it("is given back by a request once, however often it ends", () => {
    const budget = createBudget();
    const memory = new HeldMemory(budget);
    assert.ok(memory.reserve(SENDER.caller, 1_000, 1_000));
    memory.giveBack(400);
    assert.equal(budget.heldBytes, 600);
    memory.release();
    memory.release();
    memory.giveBack(100);
    assert.equal(budget.heldBytes, 0);
    assert.ok(!memory.reserve(SENDER.caller, 1, 1));
  });
});
