import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { Lease, type LeaseWrite, parseLease } from "./lease.js";

const LENGTH_MS = 1_000;

function createHolder(epoch: string, offsetMs: number) {
  const lease = new Lease({
    holder: "ep1",
    epoch,
    lengthMs: LENGTH_MS,
    takesOverAtOnce: false,
  });
  return { lease, offsetMs };
}

type Reply = "ok" | "lost" | "late" | "dropped";

const actionArbitrary = fc.oneof(
  fc.record({
    type: fc.constant("advance" as const),
    ms: fc.integer({ min: 1, max: 1_200 }),
  }),
  fc.record({
    type: fc.constant("read" as const),
    who: fc.nat({ max: 2 }),
  }),
  fc.record({
    type: fc.constantFrom("acquire" as const, "renew" as const),
    who: fc.nat({ max: 2 }),
    reply: fc.constantFrom<Reply>("ok", "ok", "lost", "late", "dropped"),
  }),
  fc.record({ type: fc.constant("land" as const) }),
  fc.record({
    type: fc.constant("release" as const),
    who: fc.nat({ max: 2 }),
  }),
);

describe("leases", () => {
  it("never has two holders, however long one pauses and whichever writes are lost or late", () => {
    let acquired = 0;
    fc.assert(
      fc.property(
        fc.array(actionArbitrary, { maxLength: 60, size: "max" }),
        (actions) => {
          // The holders' clocks differ, so only durations are comparable.
          const holders = [
            createHolder("a", 0),
            createHolder("b", 77_000),
            createHolder("c", -5_000),
          ];
          const late: LeaseWrite[] = [];
          let nowMs = 100_000;
          let stored: { version: number; value: unknown } | undefined;
          const apply = (write: LeaseWrite): number | undefined => {
            if ((stored?.version ?? 0) !== write.ifVersion) return undefined;
            stored = { version: write.ifVersion + 1, value: write.value };
            return stored.version;
          };
          for (const step of actions) {
            if (step.type === "advance") nowMs += step.ms;
            if (step.type === "land") late.splice(0).forEach(apply);
            if (!("who" in step)) continue;
            const holder = holders[step.who];
            if (holder === undefined) continue;
            const { lease, offsetMs } = holder;
            const ownMs = nowMs + offsetMs;
            if (step.type === "read") lease.observe(stored, ownMs);
            if (step.type === "release") {
              const write = lease.planRelease();
              if (write !== undefined) apply(write);
            }
            if (step.type === "acquire" || step.type === "renew") {
              const write =
                step.type === "acquire"
                  ? lease.planAcquire(ownMs)
                  : lease.planRenew(ownMs);
              if (write !== undefined && step.reply === "late")
                late.push(write);
              if (write !== undefined && step.reply === "lost") apply(write);
              if (write !== undefined && step.reply === "ok") {
                const version = apply(write);
                if (version === undefined) lease.forget();
                else lease.confirmWrite(write, version, ownMs);
              }
            }
            const held = holders.filter((h) =>
              h.lease.isHeld(nowMs + h.offsetMs),
            );
            acquired += held.length;
            assert.ok(held.length <= 1, `${held.length} holders`);
          }
        },
      ),
      { numRuns: 3_000, interruptAfterTimeLimit: 20_000, seed: 7 },
    );
    assert.ok(acquired > 100, `only ${acquired} holdings were seen`);
  });

  it("takes over a malformed value only after the length of a lease", () => {
    const { lease } = createHolder("a", 0);
    for (const value of [null, 3, {}, { holder: "x", fencing: -1 }]) {
      assert.equal(parseLease(value), undefined);
    }
    lease.observe({ version: 4, value: "garbage" }, 0);
    assert.equal(lease.planAcquire(LENGTH_MS - 1), undefined);
    assert.equal(lease.planAcquire(LENGTH_MS)?.ifVersion, 4);
  });
});
