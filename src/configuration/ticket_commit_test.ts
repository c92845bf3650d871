import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createEmptyState, hashDocument } from "../core/index.js";
import type { Ticket } from "../schema/index.js";
import {
  HEAD_KEY,
  type Head,
  type RevisionDocument,
  readCurrentRevision,
} from "./revision_store.js";
import { type Fault, SharedFakeStore } from "./shared_fake_store_test.js";
import { commitHold, commitTicket } from "./ticket_commit.js";

const SIGNAL = new AbortController().signal;

function createTicket(number: number, dataCentre = "dc1", out = true): Ticket {
  const state = out ? "out" : "in";
  return { number, dataCentres: [{ name: dataCentre, state }] };
}

function listHistory(store: SharedFakeStore): RevisionDocument[] {
  return store.writes
    .filter((object) => object.key === HEAD_KEY)
    .map(({ value }) => {
      const { key, sha } = value as Head;
      const document = store.objects.get(key)?.value as RevisionDocument;
      assert.equal(hashDocument(document), sha);
      return document;
    });
}

/** Fails if the history branches or a lower ticket number overrode a higher. */
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
      assert.ok(
        (deciders.get(name) ?? 0) < number,
        `a lower ticket number changed ${name}`,
      );
      assert.equal(document.state.dataCentres[name]?.state, state);
      deciders.set(name, number);
    }
  });
}

/** Fails if the answer to a ticket contradicts the history. */
function checkAnswer(
  history: RevisionDocument[],
  ticket: Ticket,
  answer: Awaited<ReturnType<typeof commitTicket>>,
): void {
  const ticketJson = JSON.stringify(ticket);
  const found = history.filter(
    ({ cause }) =>
      "ticket" in cause && JSON.stringify(cause.ticket) === ticketJson,
  );
  assert.ok(found.length <= 1, "a ticket took effect twice");
  if (answer.isOk()) {
    assert.equal(found[0]?.state.revision, answer.value.revision);
  } else if (answer.error.kind !== "outcome-unknown") {
    assert.equal(
      found.length,
      0,
      `answered ${answer.error.kind}, but the ticket took effect`,
    );
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
  it("keeps a linear history and answers correctly with concurrent operators and lost replies", async () => {
    const property = fc.asyncProperty(
      fc.array(OPERATOR, { minLength: 2, maxLength: 4 }),
      async (operators) => {
        const store = new SharedFakeStore();
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
            const ownAnswers = [];
            for (const ticket of tickets) {
              const answer = await commitTicket(client, ticket, SIGNAL);
              ownAnswers.push({ ticket, answer });
            }
            return ownAnswers;
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

  it("commits a ticket once when the store's reply is lost, and reports it, so that no operator needs to guess", async () => {
    const store = new SharedFakeStore();
    const faults: Fault[] = ["none", "lost-after", "none", "lost-after"];
    const client = store.connect(() => faults.shift() ?? "none");
    const answer = await commitTicket(client, createTicket(1), SIGNAL);
    assert.equal(answer._unsafeUnwrap().revision, 1);
    assert.equal(listHistory(store).length, 1);
  });

  it("reports that nothing was committed while the store is down", async () => {
    const controller = new AbortController();
    setTimeout(() => controller.abort(), 100);
    const client = new SharedFakeStore().connect(() => "down");
    const ticket = createTicket(1);
    const answer = await commitTicket(client, ticket, controller.signal);
    assert.equal(answer._unsafeUnwrapErr().kind, "store-unavailable");
  });

  it("reports an unknown outcome when the head update's reply is lost and the store is down", async () => {
    const controller = new AbortController();
    setTimeout(() => controller.abort(), 100);
    const faults: Fault[] = ["none", "none", "lost-after"];
    const client = new SharedFakeStore().connect(
      () => faults.shift() ?? "down",
    );
    const ticket = createTicket(1);
    const answer = await commitTicket(client, ticket, controller.signal);
    assert.equal(answer._unsafeUnwrapErr().kind, "outcome-unknown");
  });

  it("fails to read a revision whose object is damaged", async () => {
    const store = new SharedFakeStore();
    const client = store.connect();
    await commitTicket(client, createTicket(1), SIGNAL);
    const head = store.objects.get(HEAD_KEY)?.value as Head;
    store.objects.set(head.key, {
      key: head.key,
      version: 1,
      value: { state: { ...createEmptyState(), revision: 1 } },
    });
    const failure = (
      await readCurrentRevision(client, SIGNAL)
    )._unsafeUnwrapErr();
    assert.equal(failure.kind, "unreadable-revision");
  });

  it("rejects a hold when a ticket has changed the version since the guard decided", async () => {
    const client = new SharedFakeStore().connect();
    const baseState = createEmptyState();
    const rollouts = [{ version: "small-2", share: 0.5 }];
    await commitTicket(client, { number: 4, rollouts }, SIGNAL);
    const hold = { version: "small-2", reason: "bad ratings", baseState };
    const failure = (await commitHold(client, hold, SIGNAL))._unsafeUnwrapErr();
    assert.equal(failure.kind, "outdated-hold");
    const { state } = (
      await readCurrentRevision(client, SIGNAL)
    )._unsafeUnwrap();
    const held = await commitHold(
      client,
      { ...hold, baseState: state },
      SIGNAL,
    );
    assert.equal(held._unsafeUnwrap().revision, 2);
  });

  it("names the key, value and expected value in an invalid ticket", async () => {
    const client = new SharedFakeStore().connect();
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
