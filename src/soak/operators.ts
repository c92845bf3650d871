/** Racing operators: tickets that conflict, come late and are repeated. */

import type { Ticket } from "../schema/index.js";
import { delay } from "../testbed/delay.js";
import { type Fleet, type Member, OPERATOR_TOKEN } from "../testbed/fleet.js";
import { callHttp } from "../testbed/http_calls.js";
import { createSetupTicket } from "../testbed/workloads.js";
import type { Journal, TicketRecord } from "./journal.js";
import { type Layout, WORKLOADS } from "./layout.js";
import type { Members } from "./members.js";
import { Random } from "./random.js";
import { createChange } from "./ticket_changes.js";

interface OperatorsOptions {
  readonly fleet: Fleet;
  readonly journal: Journal;
  readonly members: Members;
  readonly layout: Layout;
  readonly seed: number;
}

const OPERATOR_STREAM = 3_000_003;
const MEAN_GAP_MS = 2_500;
/** Longer than the 11 s after which a ticket must be in force. */
const MIN_IN_FORCE_MS = 12_000;
const MAX_IN_FORCE_MS = 18_000;
const CALL_TIMEOUT_MS = 15_000;
const REPEAT_PAUSE_MS = 700;
const MAX_TRIES = 40;
/** Statuses after which an operator repeats the ticket. */
const REPEATED = new Set<number | undefined>([undefined, 202, 503, 504]);

export class Operators {
  readonly #options: OperatorsOptions;
  readonly #random: Random;
  readonly #open = new Set<Promise<unknown>>();
  #lastNumber = 0;

  constructor(options: OperatorsOptions) {
    this.#options = options;
    this.#random = new Random(options.seed + OPERATOR_STREAM);
  }

  /** Sets up the fleet state, or sets all of it again at the end. */
  async applySetup(): Promise<TicketRecord> {
    const { dataCentres, endpoints } = this.#options.layout;
    const ticket = createSetupTicket(
      this.#takeNumber(),
      WORKLOADS,
      dataCentres,
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

  /** Applies one change without a race. */
  async apply(create: (number: number) => Ticket): Promise<void> {
    await this.#submit(create(this.#takeNumber()));
  }

  /** Sends tickets until the signal aborts; settles when all are answered. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const gapMs = -Math.log(1 - this.#random.next()) * MEAN_GAP_MS;
      await delay(Math.min(gapMs, 4 * MEAN_GAP_MS));
      if (signal.aborted) break;
      const change = this.#change(signal);
      this.#open.add(change);
      void change.finally(() => this.#open.delete(change));
    }
    await Promise.all([...this.#open]);
  }

  /** Makes a change and takes it back once it had to be in force. */
  async #change(signal: AbortSignal): Promise<void> {
    const random = this.#random;
    const change = createChange(this.#options.layout, random);
    await this.#race(change.make);
    const forMs = random.pickInteger(MIN_IN_FORCE_MS, MAX_IN_FORCE_MS);
    const endMs = performance.now() + forMs;
    while (performance.now() < endMs && !signal.aborted) await delay(100);
    await this.#race(change.undo);
  }

  /** One operator's ticket, sometimes against another's or repeated late. */
  async #race(create: (number: number) => Ticket): Promise<void> {
    const random = this.#random;
    const ticket = create(this.#takeNumber());
    const first = this.#submit(ticket);
    const way = random.next();
    if (way < 0.2) {
      // Another operator with a higher number and the same subjects.
      this.#options.journal.countFault("ticket-race");
      await this.#submit(create(this.#takeNumber()));
    } else if (way < 0.35) {
      this.#options.journal.countFault("ticket-number-taken");
      await this.#submit({ ...ticket, note: "other content" }, 1);
    }
    await first;
    if (way > 0.8) {
      this.#options.journal.countFault("ticket-repeated");
      await delay(random.pickInteger(0, 3_000));
      await this.#submit(ticket, 1);
    } else if (way > 0.65) {
      this.#options.journal.countFault("ticket-late");
      const late = this.#takeNumber();
      await this.#submit(create(this.#takeNumber()));
      await this.#submit(create(late), 2);
    }
  }

  #takeNumber(): number {
    this.#lastNumber += 1;
    return this.#lastNumber;
  }

  /** Sends a ticket, at another entry each time, until its answer is final. */
  async #submit(ticket: Ticket, maxTries = MAX_TRIES): Promise<TicketRecord> {
    for (let count = 1; ; count += 1) {
      const record = await this.#send(ticket);
      this.#options.journal.tickets.push(record);
      if (!REPEATED.has(record.status) || count >= maxTries) return record;
      await delay(REPEAT_PAUSE_MS);
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
    const { fleet, members } = this.#options;
    const entries = fleet.members.filter((member) => member.role === "entry");
    const serving = entries.filter((member) => members.isServing(member));
    return this.#random.pick(serving.length > 0 ? serving : entries);
  }
}
