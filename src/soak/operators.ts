/** Simulated operators, whose tickets conflict, come late and are repeated. */

import type { Ticket } from "../schema/index.js";
import { delay } from "../testbed/delay.js";
import { type Fleet, type Member, OPERATOR_TOKEN } from "../testbed/fleet.js";
import { callHttp } from "../testbed/http_calls.js";
import { createSetupTicket } from "../testbed/workloads.js";
import type { Journal, TicketRecord } from "./journal.js";
import { ALL_VERSIONS, type Layout, WORKLOADS } from "./layout.js";
import type { ProcessSupervisor } from "./process_supervisor.js";
import { Random } from "./random.js";
import { createRandomChange } from "./ticket_changes.js";

interface OperatorsOptions {
  readonly fleet: Fleet;
  readonly journal: Journal;
  readonly supervisor: ProcessSupervisor;
  readonly layout: Layout;
  readonly seed: number;
}

const OPERATOR_SEED_OFFSET = 3_000_003;
const MEAN_CHANGE_GAP_MS = 2_500;
/** Longer than the 11 s after which a ticket must be in force. */
const MIN_CHANGE_MS = 12_000;
const MAX_CHANGE_MS = 18_000;
const CALL_TIMEOUT_MS = 15_000;
const TICKET_RETRY_DELAY_MS = 700;
const MAX_TICKET_ATTEMPTS = 40;
/** Statuses after which an operator repeats the ticket. */
const RETRIED_STATUSES = new Set<number | undefined>([
  undefined,
  202,
  503,
  504,
]);

export class Operators {
  readonly #options: OperatorsOptions;
  readonly #random: Random;
  readonly #openChanges = new Set<Promise<unknown>>();
  #lastNumber = 0;

  constructor(options: OperatorsOptions) {
    this.#options = options;
    this.#random = new Random(options.seed + OPERATOR_SEED_OFFSET);
  }

  /** Submits the whole fleet state, at the start and again at the end. */
  async applySetup(): Promise<TicketRecord> {
    const { dataCentres, endpoints } = this.#options.layout;
    const ticket = createSetupTicket(
      this.#takeNumber(),
      WORKLOADS,
      dataCentres,
      ALL_VERSIONS,
    );
    const engines = endpoints.filter((item) => item.kind === "engine");
    return this.#submit({
      ...ticket,
      endpoints: engines.map(({ name, versions = [] }) => ({
        name,
        state: "in" as const,
        versions: [...versions],
      })),
    });
  }

  /** Submits one ticket that no other one competes with. */
  async apply(create: (number: number) => Ticket): Promise<void> {
    await this.#submit(create(this.#takeNumber()));
  }

  /** Sends tickets until the signal aborts; resolves when all are answered. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const gapMs = -Math.log(1 - this.#random.next()) * MEAN_CHANGE_GAP_MS;
      await delay(Math.min(gapMs, 4 * MEAN_CHANGE_GAP_MS));
      if (signal.aborted) break;
      const change = this.#makeChange(signal);
      this.#openChanges.add(change);
      void change.finally(() => this.#openChanges.delete(change));
    }
    await Promise.all([...this.#openChanges]);
  }

  /** Makes a change and reverts it after it must have been in force. */
  async #makeChange(signal: AbortSignal): Promise<void> {
    const random = this.#random;
    const change = createRandomChange(this.#options.layout, random);
    await this.#submitRacing(change.createTicket);
    const durationMs = random.pickInteger(MIN_CHANGE_MS, MAX_CHANGE_MS);
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs && !signal.aborted) await delay(100);
    await this.#submitRacing(change.createUndoTicket);
  }

  /** Submits a ticket, sometimes with a competing one, late or repeatedly. */
  async #submitRacing(create: (number: number) => Ticket): Promise<void> {
    const random = this.#random;
    const ticket = create(this.#takeNumber());
    const first = this.#submit(ticket);
    const variant = random.next();
    if (variant < 0.2) {
      // Another operator with a higher number and the same subjects.
      this.#options.journal.countFault("ticket-race");
      await this.#submit(create(this.#takeNumber()));
    } else if (variant < 0.35) {
      this.#options.journal.countFault("ticket-number-taken");
      await this.#submit({ ...ticket, note: "other content" }, 1);
    }
    await first;
    if (variant > 0.8) {
      this.#options.journal.countFault("ticket-repeated");
      await delay(random.pickInteger(0, 3_000));
      await this.#submit(ticket, 1);
    } else if (variant > 0.65) {
      this.#options.journal.countFault("ticket-late");
      const lateNumber = this.#takeNumber();
      await this.#submit(create(this.#takeNumber()));
      await this.#submit(create(lateNumber), 2);
    }
  }

  #takeNumber(): number {
    this.#lastNumber += 1;
    return this.#lastNumber;
  }

  /** Sends a ticket, to a random entry each time, until its answer is final. */
  async #submit(
    ticket: Ticket,
    maxAttempts = MAX_TICKET_ATTEMPTS,
  ): Promise<TicketRecord> {
    for (let attempts = 1; ; attempts += 1) {
      const record = await this.#send(ticket);
      this.#options.journal.tickets.push(record);
      if (!RETRIED_STATUSES.has(record.status) || attempts >= maxAttempts)
        return record;
      await delay(TICKET_RETRY_DELAY_MS);
    }
  }

  async #send(ticket: Ticket): Promise<TicketRecord> {
    const entry = this.#pickEntry();
    const sentMs = Date.now();
    const base = { ticket, entry: entry.name, sentMs, revision: 0 };
    try {
      const answer = await callHttp({
        port: entry.operatorPort,
        method: "POST",
        path: "/tickets",
        headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
        body: ticket,
        timeoutMs: CALL_TIMEOUT_MS,
      });
      const body = JSON.parse(answer.text);
      return {
        ...base,
        doneMs: Date.now(),
        status: answer.status,
        result: body.state ?? body.code,
        revision: body.revision ?? 0,
      };
    } catch (error) {
      const result = `broken: ${error}`;
      return { ...base, doneMs: Date.now(), status: undefined, result };
    }
  }

  #pickEntry(): Member {
    const { fleet, supervisor } = this.#options;
    const entries = fleet.members.filter((member) => member.role === "entry");
    const serving = entries.filter((member) => supervisor.isServing(member));
    return this.#random.pick(serving.length > 0 ? serving : entries);
  }
}
