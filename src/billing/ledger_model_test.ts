import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { type Result, ResultAsync } from "neverthrow";
import type { ObjectStore, StoreFailure } from "../adapters/index.js";
import {
  countReceiptCopies,
  createRandom,
  createReceipt,
  FakeStore,
  type Random,
  type StoreFault,
  VirtualClock,
} from "../runtime/fake_store_test.js";
import { EntryLedger } from "./entry_ledger.js";
import { HeldReceipts } from "./held_receipts.js";
import { ReceiptHolders } from "./receipt_holders.js";

const FAULTS: StoreFault[] = ["unavailable", "lost-reply", "lost", "late"];
const ENDPOINTS = ["gpu-0", "gpu-1", "gpu-2"];

/** A process that can be killed or frozen between any two steps. */
class FakeProcess {
  isAlive = true;
  frozenUntilMs = 0;
  readonly stopping = new AbortController();
  readonly #clock: VirtualClock;

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  get isRunning(): boolean {
    return this.isAlive && this.#clock.now() >= this.frozenUntilMs;
  }

  kill() {
    this.isAlive = false;
    this.stopping.abort();
  }

  /** Resolves when the process is not frozen; never, if it is killed. */
  async waitUntilRunning(): Promise<void> {
    const leftMs = this.frozenUntilMs - this.#clock.now();
    if (leftMs > 0) await this.#clock.sleep(leftMs);
    if (!this.isAlive) await new Promise(() => undefined);
  }

  async call<T>(run: () => PromiseLike<T>): Promise<T> {
    await this.waitUntilRunning();
    const result = await run();
    await this.waitUntilRunning();
    return result;
  }

  wrapStore(store: ObjectStore): ObjectStore {
    const wrap = <T>(run: () => PromiseLike<Result<T, StoreFailure>>) =>
      new ResultAsync(this.call(run));
    return {
      read: (...args) => wrap(() => store.read(...args)),
      write: (...args) => wrap(() => store.write(...args)),
      list: (...args) => wrap(() => store.list(...args)),
      watch: (...args) => wrap(() => store.watch(...args)),
    };
  }
}

interface Endpoint {
  process: FakeProcess;
  held: HeldReceipts;
}

interface Entry {
  process: FakeProcess;
  ledger: EntryLedger;
}

/** Entries and endpoints that call each other in virtual time. */
class FakeFleet {
  readonly clock = new VirtualClock();
  readonly store: FakeStore;
  readonly random: Random;
  readonly entries = new Map<string, Entry>();
  readonly endpoints = new Map<string, Endpoint>();
  /** Processes that confirmed a copy of the receipt, by request id. */
  readonly holders = new Map<string, FakeProcess[]>();
  isFaultFree = false;
  #incarnations = 0;

  constructor(seed: number) {
    this.random = createRandom(seed);
    this.store = new FakeStore(this.clock, () => this.#pickFault());
    for (const name of ["entry0", "entry1"]) this.startEntry(name);
    for (const name of ENDPOINTS) this.startEndpoint(name);
  }

  #pickFault(): StoreFault {
    if (this.isFaultFree || this.random(4) > 0) return "none";
    return FAULTS[this.random(FAULTS.length)] ?? "none";
  }

  startEndpoint(name: string) {
    const process = new FakeProcess(this.clock);
    const held = new HeldReceipts({
      store: process.wrapStore(this.store),
      clock: this.clock,
      createId: () => "id",
      endpoint: name,
      isProcessLive: (owner) =>
        this.entries.get(owner)?.process.isRunning ?? false,
      forwardReceipt: async (request, signal) => {
        const other = ENDPOINTS.find((candidate) => candidate !== name) ?? name;
        const isHeld = await this.#hold(other, request, signal);
        // The copy moves, so this process holds it no longer.
        const holders = this.holders.get(request.requestId) ?? [];
        const others = holders.filter((holder) => holder !== process);
        if (isHeld) this.holders.set(request.requestId, others);
        return isHeld;
      },
    });
    this.endpoints.set(name, { process, held });
    void held.start(process.stopping.signal);
  }

  async #hold(
    name: string,
    request: { owner: string; receipt: string; requestId: string },
    signal: AbortSignal,
  ): Promise<boolean> {
    await this.clock.sleep(this.random(40));
    const endpoint = this.endpoints.get(name);
    if (!endpoint?.process.isRunning || signal.aborted) return false;
    if (!endpoint.held.hold(request)) return false;
    const holders = this.holders.get(request.requestId) ?? [];
    this.holders.set(request.requestId, [...holders, endpoint.process]);
    await this.clock.sleep(this.random(40));
    return this.isFaultFree || this.random(6) > 0;
  }

  startEntry(name: string) {
    const process = new FakeProcess(this.clock);
    this.#incarnations += 1;
    const incarnation = `i${this.#incarnations}`;
    const holders = new ReceiptHolders({
      holdReceipt: (endpoint, record, signal) =>
        process.call(() => {
          const { owner } = record;
          const receipt = JSON.stringify(record);
          const { requestId } = record.receipt;
          return this.#hold(endpoint, { owner, receipt, requestId }, signal);
        }),
      releaseReceipts: (endpoint, release) =>
        process.call(async () => {
          await this.clock.sleep(this.random(40));
          if (this.random(6) === 0) return false;
          this.endpoints.get(endpoint)?.held.release(release);
          return true;
        }),
    });
    const ledger = new EntryLedger({
      store: process.wrapStore(this.store),
      clock: this.clock,
      holders,
      entry: name,
      incarnation,
    });
    for (const [key, entry] of this.entries) {
      if (key.startsWith(`${name}-`)) entry.process.kill();
    }
    this.entries.set(`${name}-${incarnation}`, { process, ledger });
    void ledger.start(process.stopping.signal);
  }

  listLiveEntries(): Entry[] {
    return [...this.entries.values()].filter(({ process }) => process.isAlive);
  }
}

const stepArbitrary = fc.record({
  kind: fc.constantFrom(
    ...Array.from({ length: 6 }, () => "add" as const),
    ...Array.from({ length: 4 }, () => "pass" as const),
    ...Array.from({ length: 2 }, () => "freeze" as const),
    "kill-entry" as const,
    "kill-endpoint" as const,
    "stop-endpoint" as const,
    "store-down" as const,
    "store-up" as const,
  ),
  index: fc.nat(2),
  count: fc.integer({ min: 1, max: 3 }),
  passMs: fc.constantFrom(3, 40, 500, 2_000, 33_000),
  freezeMs: fc.integer({ min: 29_000, max: 40_000 }),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

interface AddedReceipt {
  requestId: string;
  owner: FakeProcess;
}

function applyStep(fleet: FakeFleet, step: Step, added: AddedReceipt[]) {
  const { clock, endpoints } = fleet;
  if (step.kind.startsWith("store")) {
    fleet.store.isDown = step.kind === "store-down";
  }
  if (step.kind === "freeze") {
    const entry = fleet.listLiveEntries()[step.index % 2];
    if (entry) entry.process.frozenUntilMs = clock.now() + step.freezeMs;
  }
  if (step.kind === "kill-entry") fleet.startEntry(`entry${step.index % 2}`);
  if (step.kind === "kill-endpoint" || step.kind === "stop-endpoint") {
    const name = ENDPOINTS[step.index];
    const old = endpoints.get(name ?? "");
    if (name === undefined || old === undefined) return;
    if (step.kind === "kill-endpoint") old.process.kill();
    else void old.held.handOver(new AbortController().signal);
    fleet.startEndpoint(name);
  }
  if (step.kind !== "add") return;
  const entry = fleet.listLiveEntries()[step.index % 2];
  if (entry === undefined) return;
  for (let count = 0; count < step.count; count += 1) {
    const requestId = `r${added.length}`;
    added.push({ requestId, owner: entry.process });
    const first = fleet.random(3);
    const holders = ENDPOINTS.map((_, i) => ENDPOINTS[(first + i) % 3] ?? "");
    const { signal } = entry.process.stopping;
    void entry.ledger.add(createReceipt(requestId), { holders }, signal);
  }
}

async function runModel(seed: number, plan: Step[]) {
  const fleet = new FakeFleet(seed);
  const added: AddedReceipt[] = [];
  for (const step of plan) {
    applyStep(fleet, step, added);
    await fleet.clock.advance(
      step.kind === "pass" ? step.passMs : fleet.random(30),
    );
  }
  fleet.isFaultFree = true;
  fleet.store.isDown = false;
  await fleet.clock.advance(200_000);
  for (const { process } of fleet.entries.values()) process.stopping.abort();
  const heldCounts = [...fleet.endpoints.values()].map(
    ({ held }) => held.count,
  );
  for (const { process } of fleet.endpoints.values()) process.stopping.abort();
  return { fleet, added, heldCounts };
}

describe("ledger under crashes and lost replies", () => {
  it("stores each receipt with a surviving holder exactly once", async () => {
    const totals = { pages: 0, recovered: 0, seals: 0, lost: 0 };
    await fc.assert(
      fc.asyncProperty(
        fc.nat(),
        fc.array(stepArbitrary, { minLength: 4, maxLength: 25 }),
        async (seed, plan) => {
          const { fleet, added, heldCounts } = await runModel(seed, plan);
          const places = countReceiptCopies(fleet.store);
          for (const { requestId, owner } of added) {
            const count = places.get(requestId) ?? 0;
            assert.ok(count <= 1, `${requestId} is billed twice`);
            const holders = fleet.holders.get(requestId) ?? [];
            const survives = [owner, ...holders].some((p) => p.isAlive);
            if (survives) assert.equal(count, 1, `${requestId} is unbilled`);
            else if (count === 0) totals.lost += 1;
          }
          assert.ok(
            heldCounts.every((count) => count === 0),
            "copies remain held",
          );
          for (const { key, value } of fleet.store.listAll("ledger/")) {
            if (key.startsWith("ledger/recovered/")) totals.recovered += 1;
            else if ((value as { kind: string }).kind === "seal") {
              totals.seals += 1;
            } else totals.pages += 1;
          }
        },
      ),
      {
        numRuns: 150,
        seed: 11,
        interruptAfterTimeLimit: 25_000,
        includeErrorInReport: true,
      },
    );
    assert.ok(totals.pages > 0 && totals.recovered > 0 && totals.seals > 0);
  });
});
