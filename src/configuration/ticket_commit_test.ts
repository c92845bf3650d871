import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createEmptyState, hashDocument } from "../core/index.js";
import type { Ticket } from "../schema/index.js";
import { FakeStore, type Fault } from "./fake_config_store_test.js";
import {
  HEAD_KEY,
  type Head,
  type RevisionDocument,
  readCurrent,
} from "./revision_store.js";
import { commitHold, commitTicket } from "./ticket_commit.js";

const SIGNAL = new AbortController().signal;

function createTicket(number: number, dataCentre = "dc1", out = true): Ticket {
  const state = out ? "out" : "in";
  return { number, dataCentres: [{ name: dataCentre, state }] };
}

function listHistory(store: FakeStore): RevisionDocument[] {
  return store.writes
    .filter((object) => object.key === HEAD_KEY)
    .map(({ value }) => {
      const { key, sha } = value as Head;
      const document = store.objects.get(key)?.value as RevisionDocument;
      assert.equal(hashDocument(document), sha);
      return document;
    });
}

/** Fails when the history branches or a lower number undid a higher one. */
function checkHistory(history: RevisionDocument[]): void {
  const deciders = new Map<string, number>();
  let previousSha = "";
  history.forEach((document, index) => {
    assert.equal(document.state.revision, index + 1);
    assert.equal(document.previousSha, previousSha);
    previousSha = hashDocument(document);
    if (!("ticket" in document.cause)) return;
    const { number, dataCentres = [] } = document.cause.ticket;
    for (const { name, state } of dataCentres) {
      assert.ok((deciders.get(name) ?? 0) < number, `${name} went back`);
      assert.equal(document.state.dataCentres[name]?.state, state);
      deciders.set(name, number);
    }
  });
}

/** Fails when an answer is not what the history says. */
function checkAnswer(
  history: RevisionDocument[],
  ticket: Ticket,
  answer: Awaited<ReturnType<typeof commitTicket>>,
): void {
  const wanted = JSON.stringify(ticket);
  const found = history.filter(
    ({ cause }) => "ticket" in cause && JSON.stringify(cause.ticket) === wanted,
  );
  assert.ok(found.length <= 1, "a ticket took effect twice");
  if (answer.isOk()) {
    assert.equal(found[0]?.state.revision, answer.value.revision);
  } else if (answer.error.kind !== "outcome-unknown") {
    assert.equal(found.length, 0, `${answer.error.kind} is not true`);
  }
}

const FAULT = fc.oneof(
  { weight: 6, arbitrary: fc.constant<Fault>("none") },
  { weight: 3, arbitrary: fc.constantFrom<Fault>("lost-after", "late") },
  { weight: 1, arbitrary: fc.constantFrom<Fault>("down", "lost-before") },
);

const OPERATOR = fc.record({
  tickets: fc.array(
    fc
      .tuple(fc.integer({ min: 1, max: 6 }), fc.constantFrom("dc1", "dc2"))
      .chain(([number, name]) =>
        fc.boolean().map((out) => createTicket(number, name, out)),
      ),
    { minLength: 1, maxLength: 4 },
  ),
  faults: fc.array(FAULT, { maxLength: 30 }),
  delays: fc.array(fc.nat(3), { minLength: 1, maxLength: 10 }),
});

describe("ticket commit", () => {
  it("keeps one line of revisions and gives true answers while operators race and replies are lost", async () => {
    const property = fc.asyncProperty(
      fc.array(OPERATOR, { minLength: 2, maxLength: 4 }),
      async (operators) => {
        const store = new FakeStore();
        const answers = await Promise.all(
          operators.map(async ({ tickets, faults, delays }) => {
            let calls = 0;
            const client = store.connect(
              () => faults.shift() ?? "none",
              async () => {
                const turns = delays[calls++ % delays.length] ?? 0;
                for (let turn = 0; turn <= turns; turn++) {
                  await new Promise(setImmediate);
                }
              },
            );
            const given = [];
            for (const ticket of tickets) {
              const answer = await commitTicket(client, ticket, SIGNAL);
              given.push({ ticket, answer });
            }
            return given;
          }),
        );
        // Late writes arrive within a few turns of the event loop.
        await new Promise((resolve) => setTimeout(resolve, 2));
        const history = listHistory(store);
        checkHistory(history);
        for (const { ticket, answer } of answers.flat()) {
          checkAnswer(history, ticket, answer);
        }
      },
    );
    await fc.assert(property, {
      numRuns: 150,
      interruptAfterTimeLimit: 30_000,
    });
  });

  it("answers a lost reply as committed once, so no operator repeats blindly", async () => {
    const store = new FakeStore();
    const faults: Fault[] = ["none", "lost-after", "none", "lost-after"];
    const client = store.connect(() => faults.shift() ?? "none");
    const answer = await commitTicket(client, createTicket(1), SIGNAL);
    assert.equal(answer._unsafeUnwrap().revision, 1);
    assert.equal(listHistory(store).length, 1);
  });

  it("says that nothing was committed while the store is down", async () => {
    const controller = new AbortController();
    setTimeout(() => controller.abort(), 100);
    const client = new FakeStore().connect(() => "down");
    const ticket = createTicket(1);
    const answer = await commitTicket(client, ticket, controller.signal);
    assert.equal(answer._unsafeUnwrapErr().kind, "store-unavailable");
  });

  it("says unknown when the head update's reply and the store are gone", async () => {
    const controller = new AbortController();
    setTimeout(() => controller.abort(), 100);
    const faults: Fault[] = ["none", "none", "lost-after"];
    const client = new FakeStore().connect(() => faults.shift() ?? "down");
    const ticket = createTicket(1);
    const answer = await commitTicket(client, ticket, controller.signal);
    assert.equal(answer._unsafeUnwrapErr().kind, "outcome-unknown");
  });

  it("never shows a head whose revision object is absent or damaged", async () => {
    const store = new FakeStore();
    const client = store.connect();
    await commitTicket(client, createTicket(1), SIGNAL);
    const head = store.objects.get(HEAD_KEY)?.value as Head;
    store.objects.set(head.key, {
      key: head.key,
      version: 1,
      value: { state: { ...createEmptyState(), revision: 1 } },
    });
    const failure = (await readCurrent(client, SIGNAL))._unsafeUnwrapErr();
    assert.equal(failure.kind, "unreadable-revision");
  });

  it("drops a hold when an operator has decided since the guard did", async () => {
    const client = new FakeStore().connect();
    const basis = createEmptyState();
    const rollouts = [{ version: "small-2", share: 0.5 }];
    await commitTicket(client, { number: 4, rollouts }, SIGNAL);
    const hold = { version: "small-2", reason: "bad ratings", basis };
    const failure = (await commitHold(client, hold, SIGNAL))._unsafeUnwrapErr();
    assert.equal(failure.kind, "outdated-hold");
    const { state } = (await readCurrent(client, SIGNAL))._unsafeUnwrap();
    const held = await commitHold(client, { ...hold, basis: state }, SIGNAL);
    assert.equal(held._unsafeUnwrap().revision, 2);
  });

  it("names key, value and expectation of a ticket that is not valid", async () => {
    const client = new FakeStore().connect();
    const rollouts = [{ version: "small-2", share: 7 }];
    const answer = await commitTicket(client, { number: 1, rollouts }, SIGNAL);
    assert.deepEqual(answer._unsafeUnwrapErr(), {
      kind: "invalid-ticket",
      key: "/rollouts/0/share",
      value: "7",
      expected: "must be <= 1",
    });
    const { dataCentres = [] } = createTicket(1);
    const tickets = [
      { number: 1 },
      { number: 2 ** 53, dataCentres },
      { number: 1, dataCentres: [...dataCentres, ...dataCentres] },
    ];
    for (const ticket of tickets) {
      const failed = await commitTicket(client, ticket, SIGNAL);
      assert.equal(failed._unsafeUnwrapErr().kind, "invalid-ticket");
    }
  });
});
