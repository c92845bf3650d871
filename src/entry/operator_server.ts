/** Serves tickets, status, fleet state and reports to operators over HTTP. */

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
  openRequestMemory,
  parseTarget,
  parseTicket,
  readBody,
  sendJson,
  sendProblem,
  sendRefusal,
} from "../adapters/index.js";
import type { ConfigSync } from "../configuration/config_sync.js";
import type { CommitFailure } from "../configuration/ticket_commit.js";
import type { TicketService } from "../configuration/ticket_service.js";
import { createRefusal, hashSha256, type Refusal } from "../core/index.js";
import type { Ticket } from "../schema/index.js";

export interface Report {
  readonly text: string;
  readonly html?: string;
  readonly report: unknown;
}

export interface OperatorServerOptions {
  readonly tickets: Pick<TicketService, "submit" | "getStatus">;
  readonly config: Pick<ConfigSync, "state">;
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

interface TicketProblem {
  readonly status: number;
  readonly code: string;
  readonly detail: string;
}

const MAX_TICKET_BYTES = 1_000_000;
const REPORT_TIMEOUT_MS = 20_000;
const MAX_REPORT_HOURS = 24 * 31;
const DEFAULT_REPORT_HOURS = 24;
const TICKET_RETRY_AFTER_MS = 1_000;

function describeCommitFailure(failure: CommitFailure): TicketProblem {
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

/** Ticket failures have codes of their own, in the format of a refusal. */
function sendTicketProblem(
  response: ServerResponse,
  problem: TicketProblem,
): void {
  const { status, code, detail } = problem;
  const ran = code === "outcome-unknown" ? "unknown" : "no";
  sendProblem(response, {
    type: `https://hornbeamrill.invalid/problems/${code}`,
    title: code.replaceAll("-", " "),
    status,
    detail,
    code,
    ran,
    requestId: "-",
    retryAfterMs: TICKET_RETRY_AFTER_MS,
  });
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
    const url = parseTarget(request);
    if (url === undefined) {
      const detail = `Cannot use target "${request.url}": expected a path`;
      sendRefusal(response, createRefusal("bad-request", detail), "-");
      return;
    }
    const route = `${request.method} ${url.pathname}`;
    if (!this.#isOperator(request)) {
      const detail = "The operator token is missing or wrong";
      sendRefusal(response, createRefusal("unauthorized", detail), "-");
    } else if (route === "POST /tickets") {
      await this.#submitTicket(request, response);
    } else if (route.startsWith("GET /tickets/")) {
      await this.#sendTicketStatus(url, response);
    } else if (route === "GET /status") {
      sendJson(response, 200, this.#options.describeStatus());
    } else if (route === "GET /state") {
      sendJson(response, 200, this.#options.config.state);
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

  async #submitTicket(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(
      request,
      MAX_TICKET_BYTES,
      openRequestMemory(response),
    );
    if (!Buffer.isBuffer(body)) {
      sendRefusal(response, body, "-");
      return;
    }
    const ticket = parseTicket(body.toString("utf8"), "ticket");
    if (ticket.isErr()) {
      const detail = formatDocumentFailure(ticket.error);
      sendTicketProblem(response, {
        status: 400,
        code: "invalid-ticket",
        detail,
      });
      return;
    }
    await this.#commit(ticket.value, response);
  }

  async #commit(ticket: Ticket, response: ServerResponse): Promise<void> {
    const { tickets, signal, log } = this.#options;
    const outcome = await tickets.submit(ticket, signal);
    if (outcome.isErr()) {
      const problem = describeCommitFailure(outcome.error);
      const { code, detail } = problem;
      log.info("ticket-refused", { ticket: ticket.number, code, detail });
      sendTicketProblem(response, problem);
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

  async #sendTicketStatus(url: URL, response: ServerResponse): Promise<void> {
    const { tickets, signal } = this.#options;
    const numberText = url.pathname.slice("/tickets/".length);
    const number = Number(numberText);
    if (!/^[1-9]\d*$/.test(numberText) || !Number.isSafeInteger(number)) {
      const detail = `Cannot use ticket number "${numberText}": expected a whole number from 1`;
      sendRefusal(response, createRefusal("bad-request", detail), "-");
      return;
    }
    const ticket = await tickets.getStatus(number, signal);
    if (ticket.kind === "unknown") {
      const staleNote = ticket.isFresh ? "" : "; this entry is not up to date";
      const detail = `Ticket ${number} is not known${staleNote}`;
      sendTicketProblem(response, {
        status: 404,
        code: "unknown-ticket",
        detail,
      });
      return;
    }
    const { kind: state, revision, processes } = ticket;
    const holders = Object.fromEntries(
      processes.map((holder) => [holder.process, holder.revision ?? 0]),
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
