import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { Claim } from "../schema/index.js";
import {
  type AcquireOutcome,
  type AttemptReport,
  createAttemptReport,
  type LookUpAttempt,
} from "./claim_outcomes.js";
import type { StoredClaim } from "./claim_writes.js";
import { type AcquireRequest, ClaimKeeper } from "./entry_claims.js";
import {
  createRandom,
  FakeStore,
  type Fault,
  type Random,
  VirtualClock,
} from "./fake_store_test.js";
import { PendingResults } from "./pending_results.js";
import { ReceiptHolders } from "./receipt_holders.js";

const NEVER = new AbortController().signal;
const TEXT = new TextEncoder();

function createOrder(
  clock: VirtualClock,
  part: Partial<AcquireRequest> = {},
): AcquireRequest {
  const requestId = part.requestId ?? "r1";
  const quote = {
    requestId,
    account: "pumps",
    requestClass: "order",
    steps: [],
    cost: 2,
    atMs: clock.now(),
  };
  return {
    account: "pumps",
    key: "k1",
    bodySha256: "b1",
    requestId,
    endpoint: "orders-1",
    epoch: "e1",
    quote,
    deadlineAtMs: clock.now() + 5_000,
    ...part,
  };
}

interface EntryParts {
  clock: VirtualClock;
  store: FakeStore;
  lookUpAttempt: LookUpAttempt;
  holdReceipt?: () => Promise<boolean>;
}

let nextId = 0;

function createEntry({ clock, store, ...parts }: EntryParts) {
  const createId = () => `id${++nextId}`;
  const holders = new ReceiptHolders({
    holdReceipt: parts.holdReceipt ?? (async () => true),
    releaseReceipts: async () => true,
  });
  const pending = new PendingResults({
    store,
    clock,
    createId,
    holders,
    getOwner: () => "entry1-a.1",
    listHolders: () => [],
  });
  const { lookUpAttempt } = parts;
  const keeper = new ClaimKeeper({
    store,
    clock,
    createId,
    lookUpAttempt,
    pending,
  });
  return { keeper, pending };
}

function createCase(faults: Fault[], report: AttemptReport) {
  const clock = new VirtualClock();
  const store = FakeStore.script(clock, faults);
  const lookUpAttempt = async () => report;
  return { clock, store, ...createEntry({ clock, store, lookUpAttempt }) };
}

function readClaims(store: FakeStore): Claim[] {
  return store.listAll("claims/").map(({ value }) => value as Claim);
}

const ANSWER = {
  status: 201,
  contentType: "text/plain",
  body: TEXT.encode("made"),
};

describe("order claims", () => {
  it("takes its own claim after a lost reply, so the order is not stuck", async () => {
    const { clock, keeper } = createCase(["lost-reply"], { kind: "running" });
    const outcome = await clock.finish(
      keeper.acquire(createOrder(clock), NEVER),
    );
    assert.equal(outcome.kind, "acquired");
  });

  it("refuses at once with ran no when the store is down before the claim", async () => {
    const { clock, store, keeper } = createCase([], { kind: "running" });
    store.isDown = true;
    const startMs = clock.now();
    const outcome = await clock.finish(
      keeper.acquire(createOrder(clock), NEVER),
    );
    assert.ok(outcome.kind === "refused" && outcome.refusal.ran === "no");
    assert.ok(outcome.refusal.retryAfterMs > 0);
    assert.ok(clock.now() - startMs <= 100, "held back the refusal");
  });

  it("refuses a key with another body, also after the order is done", async () => {
    const { clock, keeper } = createCase([], { kind: "running" });
    const order = createOrder(clock);
    const first = await clock.finish(keeper.acquire(order, NEVER));
    assert.ok(first.kind === "acquired");
    await clock.finish(keeper.complete(first.stored, ANSWER, NEVER));
    const other = await clock.finish(
      keeper.acquire({ ...order, bodySha256: "b2" }, NEVER),
    );
    assert.ok(other.kind === "refused" && other.refusal.code === "key-reused");
    const again = await clock.finish(keeper.acquire(order, NEVER));
    assert.ok(again.kind === "done" && again.answer.status === 201);
  });

  it("makes a claim unknown for good at another epoch, so nothing runs twice", async () => {
    const { clock, store, keeper } = createCase([], { kind: "other-epoch" });
    const order = createOrder(clock);
    await clock.finish(keeper.acquire(order, NEVER));
    for (const requestId of ["r2", "r3"]) {
      const outcome = await clock.finish(
        keeper.acquire({ ...order, requestId }, NEVER),
      );
      assert.ok(outcome.kind === "unknown" && outcome.refusal.ran !== "no");
    }
    assert.equal(readClaims(store)[0]?.state, "unknown");
  });

  it("joins a running attempt until the deadline and no longer", async () => {
    const { clock, keeper } = createCase([], { kind: "running" });
    const order = createOrder(clock);
    await clock.finish(keeper.acquire(order, NEVER));
    const outcome = await clock.finish(
      keeper.acquire({ ...order, requestId: "r2" }, NEVER),
    );
    assert.ok(
      outcome.kind === "refused" && outcome.refusal.code === "in-progress",
    );
    assert.ok(clock.now() <= order.deadlineAtMs + 200);
  });

  it("answers while the store is down and bills after it returns", async () => {
    const { clock, store, keeper, pending } = createCase([], {
      kind: "running",
    });
    const first = await clock.finish(keeper.acquire(createOrder(clock), NEVER));
    assert.ok(first.kind === "acquired");
    store.isDown = true;
    const kept = await clock.finish(
      keeper.complete(first.stored, ANSWER, NEVER),
    );
    assert.equal(kept, "pending");
    store.isDown = false;
    assert.ok(await clock.finish(pending.flush(NEVER)));
    assert.equal(readClaims(store)[0]?.bill?.cost, 2);
  });

  it("bills an answer that arrives after the claim became unknown", async () => {
    const { clock, store, keeper } = createCase([], { kind: "gone" });
    const order = createOrder(clock);
    const first = await clock.finish(keeper.acquire(order, NEVER));
    assert.ok(first.kind === "acquired");
    await clock.finish(keeper.acquire({ ...order, requestId: "r2" }, NEVER));
    await clock.finish(keeper.complete(first.stored, ANSWER, NEVER));
    const claim = readClaims(store)[0];
    assert.deepEqual([claim?.state, claim?.bill?.cost], ["unknown", 2]);
  });

  it("never gives part of an answer that is too long to keep", async () => {
    const { clock, keeper } = createCase([], { kind: "running" });
    const order = createOrder(clock);
    const first = await clock.finish(keeper.acquire(order, NEVER));
    assert.ok(first.kind === "acquired");
    const long = { ...ANSWER, body: new Uint8Array(64 * 1024 + 1) };
    await clock.finish(keeper.complete(first.stored, long, NEVER));
    const again = await clock.finish(keeper.acquire(order, NEVER));
    assert.ok(again.kind === "refused" && again.refusal.ran === "yes");
  });

  it("takes a gate's refusal with ran no as not started", () => {
    const frame = { requestId: "r1", attempt: 1, sequence: 0 };
    const refusal = {
      code: "capacity",
      ran: "no",
      detail: "",
      retryAfterMs: 0,
      revision: 1,
    };
    const reply = { state: "ended", lastFrame: { ...frame, refusal } };
    assert.equal(createAttemptReport(reply).kind, "revoked");
    const lost = { state: "ended", lastFrame: undefined };
    assert.equal(createAttemptReport(lost).kind, "failed");
  });
});

/** A gate with its memory of attempts; a restart forgets them. */
class FakeGate {
  epoch = 1;
  readonly runs = new Map<string, string[]>();
  readonly #attempts = new Map<string, "refused" | "running" | string>();
  readonly #clock: VirtualClock;
  readonly #random: Random;

  constructor(clock: VirtualClock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  restart() {
    this.epoch += 1;
    this.#attempts.clear();
  }

  async dispatch(claim: Claim): Promise<string | "not-run" | "broken"> {
    await this.#clock.sleep(this.#random(20));
    const name = `${claim.requestId}/${claim.attempt}`;
    if (claim.epoch !== String(this.epoch)) return "not-run";
    if (this.#attempts.has(name)) return "not-run";
    if (this.#random(4) === 0) {
      this.#attempts.set(name, "refused");
      return "not-run";
    }
    this.#attempts.set(name, "running");
    const runs = this.runs.get(claim.key) ?? [];
    runs.push(claim.requestId);
    this.runs.set(claim.key, runs);
    const { epoch } = this;
    await this.#clock.sleep(this.#random(800));
    if (epoch !== this.epoch) return "broken";
    this.#attempts.set(name, `answer of ${name}`);
    return this.#random(4) === 0 ? "broken" : `answer of ${name}`;
  }

  async lookUp(claim: Parameters<LookUpAttempt>[0]): Promise<AttemptReport> {
    await this.#clock.sleep(this.#random(20));
    if (claim.epoch !== String(this.epoch)) return { kind: "other-epoch" };
    const name = `${claim.requestId}/${claim.attempt}`;
    const attempt = this.#attempts.get(name);
    if (attempt === undefined) this.#attempts.set(name, "refused");
    if (this.#random(6) === 0) return { kind: "unreachable" };
    if (attempt === undefined || attempt === "refused") {
      return { kind: "revoked" };
    }
    return attempt === "running"
      ? { kind: "running" }
      : { kind: "ended", ...ANSWER, body: TEXT.encode(attempt) };
  }
}

const FAULTS: Fault[] = ["unavailable", "lost-reply", "lost", "late"];

type Operation =
  | { kind: "order"; entry: number; key: number; pauseMs: number }
  | { kind: "kill"; entry: number }
  | { kind: "restart-gate" }
  | { kind: "store"; down: boolean };

const operations: fc.Arbitrary<Operation> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("order" as const),
      entry: fc.nat(2),
      key: fc.nat(1),
      pauseMs: fc.constantFrom(0, 0, 50, 3_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("kill" as const),
      entry: fc.nat(2),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "restart-gate" as const }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("store" as const),
      down: fc.boolean(),
    }),
  },
);

interface Answer {
  key: string;
  requestId: string;
  kind: "done" | "not-run" | "unknown";
  body: string;
  /** False once the entry that answered was killed. */
  isAlive: () => boolean;
}

/** Runs one caller's order as the entry does. */
async function callOrder(
  parts: { clock: VirtualClock; gate: FakeGate; keeper: ClaimKeeper },
  call: { requestId: string; key: string; pauseMs: number; isAlive(): boolean },
): Promise<Answer | undefined> {
  const { clock, gate, keeper } = parts;
  const { requestId, key, pauseMs } = call;
  const reply = (kind: Answer["kind"], body = "") => {
    return call.isAlive()
      ? { key, requestId, kind, body, isAlive: call.isAlive }
      : undefined;
  };
  const order = createOrder(clock, {
    requestId,
    key,
    epoch: String(gate.epoch),
  });
  let held: StoredClaim | undefined;
  for (let attempt = 0; attempt < 5 && call.isAlive(); attempt += 1) {
    const outcome: AcquireOutcome =
      held === undefined
        ? await keeper.acquire(order, NEVER)
        : await keeper.rejoin(order, held, NEVER);
    if (outcome.kind === "done") {
      const body = Buffer.from(outcome.answer.bodyBase64 ?? "", "base64");
      return reply("done", body.toString());
    }
    if (outcome.kind === "unknown") return reply("unknown");
    if (outcome.kind === "refused") {
      return reply(outcome.refusal.ran === "no" ? "not-run" : "unknown");
    }
    held = outcome.stored;
    await clock.sleep(pauseMs);
    if (!call.isAlive()) return undefined;
    const result = await gate.dispatch(outcome.stored.claim);
    if (!call.isAlive()) return undefined;
    if (result === "not-run") {
      const released = await keeper.release(outcome.stored, NEVER);
      if (released.kind === "released") return reply("not-run");
      if (released.kind === "refused") return reply("unknown");
    } else if (result !== "broken") {
      const body = TEXT.encode(result);
      await keeper.complete(outcome.stored, { ...ANSWER, body }, NEVER);
      return reply("done", result);
    }
  }
  return reply("unknown");
}

async function runModel(seed: number, steps: Operation[]) {
  const clock = new VirtualClock();
  const random = createRandom(seed);
  let isQuiet = false;
  const store = new FakeStore(clock, () => {
    if (isQuiet || random(4) > 0) return "none";
    return FAULTS[random(FAULTS.length)] ?? "none";
  });
  const gate = new FakeGate(clock, random);
  const lookUpAttempt: LookUpAttempt = (claim) => gate.lookUp(claim);
  const createAlive = () => ({
    isAlive: true,
    ...createEntry({ clock, store, lookUpAttempt }),
  });
  const entries = [createAlive(), createAlive(), createAlive()];
  const calls: Promise<Answer | undefined>[] = [];
  for (const [index, step] of steps.entries()) {
    if (step.kind === "restart-gate") gate.restart();
    if (step.kind === "store") store.isDown = step.down;
    if (step.kind === "kill") {
      const killed = entries[step.entry];
      if (killed !== undefined) killed.isAlive = false;
      entries[step.entry] = createAlive();
    }
    if (step.kind === "order") {
      const entry = entries[step.entry];
      if (entry === undefined) continue;
      const call = {
        requestId: `r${index}`,
        key: `k${step.key}`,
        pauseMs: step.pauseMs,
        isAlive: () => entry.isAlive,
      };
      calls.push(callOrder({ clock, gate, keeper: entry.keeper }, call));
    }
    await clock.run(random(200));
  }
  isQuiet = true;
  store.isDown = false;
  const answers = await clock.finish(Promise.all(calls));
  for (const entry of entries) await clock.finish(entry.pending.flush(NEVER));
  return { answers: answers.filter((a) => a !== undefined), gate, store };
}

describe("order claims under faults", () => {
  it("runs each key at most once, tells the truth and keeps one answer", async () => {
    const kinds = { done: 0, "not-run": 0, unknown: 0 };
    await fc.assert(
      fc.asyncProperty(
        fc.nat(),
        fc.array(operations, { minLength: 3, maxLength: 25 }),
        async (seed, steps) => {
          const { answers, gate, store } = await runModel(seed, steps);
          for (const runs of gate.runs.values()) {
            assert.equal(runs.length, 1, "an order ran twice");
          }
          const bodies = new Map<string, string>();
          for (const answer of answers) {
            kinds[answer.kind] += 1;
            const runs = gate.runs.get(answer.key) ?? [];
            if (answer.kind === "not-run") {
              assert.ok(!runs.includes(answer.requestId), "false not run");
            }
            if (answer.kind !== "done") continue;
            const body = bodies.get(answer.key) ?? answer.body;
            bodies.set(answer.key, body);
            assert.equal(answer.body, body, "answers of one key differ");
          }
          const billed = new Set(
            readClaims(store).flatMap((c) => (c.bill ? [c.key] : [])),
          );
          for (const { kind, key, isAlive } of answers) {
            if (kind !== "done" || !isAlive()) continue;
            assert.ok(billed.has(key), "a done order has no bill");
          }
          for (const claim of readClaims(store)) {
            if (claim.bill === undefined) continue;
            const runs = gate.runs.get(claim.key) ?? [];
            assert.ok(runs.includes(claim.bill.requestId), "billed unrun");
          }
        },
      ),
      {
        numRuns: 400,
        seed: 7,
        interruptAfterTimeLimit: 20_000,
        includeErrorInReport: true,
      },
    );
    for (const [kind, count] of Object.entries(kinds)) {
      assert.ok(count > 0, `no answer of kind "${kind}" was exercised`);
    }
  });
});
