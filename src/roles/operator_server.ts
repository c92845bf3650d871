/** Serves operators over HTTP: tickets, status and reports. */

import { timingSafeEqual } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { match } from "ts-pattern";
import {
  formatDocumentFailure,
  getBearerToken,
  type Logger,
  parseTicket,
  readBody,
  sendJson,
  sendRefusal,
} from "../adapters/index.js";
import { createRefusal, type Refusal } from "../core/index.js";
import type { Ticket } from "../schema/index.js";
import { hashSha256 } from "./caller_requests.js";
import type { ConfigSync } from "./config_sync.js";
import type { CommitFailure } from "./ticket_commit.js";
import type { TicketService } from "./ticket_service.js";

export interface Report {
  readonly text: string;
  readonly html?: string;
  readonly report: unknown;
}

export interface OperatorServerOptions {
  readonly tickets: TicketService;
  readonly sync: ConfigSync;
  readonly log: Logger;
  readonly tokenSha256: string | undefined;
  readonly describeStatus: () => unknown;
  readonly createReport: (
    kind: "cost" | "burn",
    hours: number,
    signal: AbortSignal,
  ) => Promise<Report | Refusal>;
  readonly signal: AbortSignal;
}

interface FailureAnswer {
  readonly status: number;
  readonly code: string;
  readonly detail: string;
}

const MAX_TICKET_BYTES = 1_000_000;
const REPORT_TIMEOUT_MS = 20_000;
const MAX_REPORT_HOURS = 24 * 31;
const DEFAULT_REPORT_HOURS = 24;

function describeFailure(failure: CommitFailure): FailureAnswer {
  const { kind: code } = failure;
  const status = match(code)
    .with("store-unavailable", () => 503)
    .with("outcome-unknown", () => 504)
    .with("too-large", () => 413)
    .with("dangling-reference", () => 400)
    .with("invalid-ticket", () => 400)
    .otherwise(() => 409);
  const { kind: _, ...rest } = failure;
  const detail = Object.entries(rest)
    .map(([key, value]) => `${key} ${JSON.stringify(value)}`)
    .join(", ");
  return { status, code, detail };
}

class OperatorHandler {
  readonly #options: OperatorServerOptions;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://entry");
    const route = `${request.method} ${url.pathname}`;
    if (!this.#isOperator(request)) {
      const detail = "The operator token is missing or wrong";
      sendRefusal(response, createRefusal("unauthorized", detail), "-");
    } else if (route === "POST /tickets") {
      await this.#applyTicket(request, response);
    } else if (route.startsWith("GET /tickets/")) {
      await this.#showTicket(url, response);
    } else if (route === "GET /status") {
      sendJson(response, 200, this.#options.describeStatus());
    } else if (route === "GET /state") {
      sendJson(response, 200, this.#options.sync.state);
    } else if (route === "GET /reports/cost") {
      await this.#sendReport("cost", url, response);
    } else if (route === "GET /reports/burn") {
      await this.#sendReport("burn", url, response);
    } else {
      const detail = `No route "${route}"`;
      sendRefusal(response, createRefusal("not-found", detail), "-");
    }
  }

  #isOperator(request: IncomingMessage): boolean {
    const { tokenSha256 } = this.#options;
    const token = getBearerToken(request);
    if (tokenSha256 === undefined || token === undefined) return false;
    return timingSafeEqual(
      Buffer.from(hashSha256(token)),
      Buffer.from(tokenSha256),
    );
  }

  async #applyTicket(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request, MAX_TICKET_BYTES);
    if (!Buffer.isBuffer(body)) {
      sendRefusal(response, body, "-");
      return;
    }
    const ticket = parseTicket(body.toString("utf8"), "ticket");
    if (ticket.isErr()) {
      const detail = formatDocumentFailure(ticket.error);
      sendJson(response, 400, { code: "invalid-ticket", detail });
      return;
    }
    await this.#commit(ticket.value, response);
  }

  async #commit(ticket: Ticket, response: ServerResponse): Promise<void> {
    const { tickets, signal, log } = this.#options;
    const outcome = await tickets.submit(ticket, signal);
    if (outcome.isErr()) {
      const { status, code, detail } = describeFailure(outcome.error);
      log.info("ticket-refused", { ticket: ticket.number, code, detail });
      sendJson(response, status, { code, detail });
      return;
    }
    const { kind: state, revision, watchers, holding } = outcome.value;
    log.info("ticket-committed", {
      ticket: ticket.number,
      revision,
      state,
      watchers: watchers.length,
      holding: holding.length,
    });
    const status = state === "accepted" ? 200 : 202;
    sendJson(response, status, { number: ticket.number, state, revision });
  }

  async #showTicket(url: URL, response: ServerResponse): Promise<void> {
    const { tickets, signal } = this.#options;
    const number = Number(url.pathname.slice("/tickets/".length));
    const ticket = await tickets.getStatus(number, signal);
    if (ticket.kind === "unknown") {
      const certainty = ticket.isFresh ? "" : "; this entry is not up to date";
      const detail = `Ticket ${number} is not known${certainty}`;
      sendJson(response, 404, { code: "unknown-ticket", detail });
      return;
    }
    const { kind: state, revision, processes } = ticket;
    const holders = Object.fromEntries(
      processes.map((item) => [item.process, item.revision ?? 0]),
    );
    sendJson(response, 200, { number, state, revision, holders });
  }

  async #sendReport(
    kind: "cost" | "burn",
    url: URL,
    response: ServerResponse,
  ): Promise<void> {
    const hours = Number(url.searchParams.get("hours") ?? DEFAULT_REPORT_HOURS);
    if (!(hours > 0 && hours <= MAX_REPORT_HOURS)) {
      const detail = `Cannot use hours: expected more than 0 and at most ${MAX_REPORT_HOURS}`;
      sendRefusal(response, createRefusal("bad-request", detail), "-");
      return;
    }
    const report = await this.#options.createReport(
      kind,
      hours,
      AbortSignal.timeout(REPORT_TIMEOUT_MS),
    );
    if ("kind" in report) sendRefusal(response, report, "-");
    else sendJson(response, 200, report);
  }
}

export function createOperatorServer(options: OperatorServerOptions): Server {
  const handler = new OperatorHandler(options);
  return createServer((request, response) => {
    handler.handle(request, response).catch((error: unknown) => {
      options.log.error("operator-call-failed", { error: String(error) });
      const detail = "The entry failed while it handled the call";
      sendRefusal(response, createRefusal("outcome-unknown", detail), "-");
    });
  });
}
