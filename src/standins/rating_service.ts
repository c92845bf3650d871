/**
 * Stand-in for the service that rates answers: a synchronous judge with
 * seeded errors, and delayed ratings of a share of the submitted answers.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { BAD_ANSWER_MARKER } from "./answers.js";
import { applyOptions, type Options } from "./options.js";
import { type Call, type Handler, parseJson, ReplyError } from "./server.js";

export const RATING_SERVICE_OPTIONS = {
  /** Probability that the judge passes an acceptable answer. */
  sensitivity: 0.95,
  /** Probability that the judge rejects an answer that is not acceptable. */
  specificity: 0.9,
  judgeMs: 20,
  /** True: judge and rating calls are answered with 503. */
  outage: false,
  /** Share of submitted answers that get a rating later. */
  ratedShare: 1,
  /** Share of these ratings that are lost. */
  lostShare: 0,
  /** Time from an answer's submission to its rating. */
  lagMs: 1_000,
} satisfies Options;

interface Rating {
  readonly requestId: string;
  readonly requestClass: string;
  readonly version: string;
  readonly accepted: boolean;
}

const MAX_PAGE_RATINGS = 1_000;

export class RatingServiceStandin {
  readonly #options = { ...RATING_SERVICE_OPTIONS };
  readonly #random: () => number;
  readonly #callRecord: object[] = [];
  /** In the order of release; a cursor is an index into it. */
  readonly #released: Rating[] = [];

  constructor(random: () => number, options: object = {}) {
    this.#random = random;
    applyOptions(this.#options, options);
  }

  readonly handle: Handler = async (call) => {
    const route = `${call.method} /${call.path[0]}`;
    if (route === "POST /control") {
      applyOptions(this.#options, parseJson(call.text));
      return { status: 200, body: this.#options };
    }
    if (route === "GET /record") {
      return { status: 200, body: { calls: this.#callRecord } };
    }
    if (this.#options.outage) throw new ReplyError(503, "outage");
    if (route === "POST /judge") return this.#judge(call);
    if (route === "POST /ratings") return this.#submit(call);
    if (route === "GET /ratings") return this.#readRatings(call);
    throw new ReplyError(404, "no-route");
  };

  async #judge(call: Call) {
    const { requestId, requestClass, version, acceptable } = parseAnswer(call);
    await sleep(this.#options.judgeMs);
    const { sensitivity, specificity } = this.#options;
    const passProbability = acceptable ? sensitivity : 1 - specificity;
    const passed = this.#random() < passProbability;
    const subject = { requestId, requestClass, version, acceptable, passed };
    this.#callRecord.push({ kind: "judge", atMs: Date.now(), ...subject });
    return { status: 200, body: { passed } };
  }

  #submit(call: Call) {
    const { acceptable, ...subject } = parseAnswer(call);
    const { ratedShare, lostShare, lagMs } = this.#options;
    const rated = this.#random() < ratedShare;
    const lost = this.#random() < lostShare;
    const rating = { ...subject, accepted: acceptable };
    this.#callRecord.push({
      kind: "submit",
      atMs: Date.now(),
      ...rating,
      lost,
    });
    if (rated && !lost) {
      setTimeout(() => this.#released.push(rating), lagMs).unref();
    }
    return { status: 202, body: {} };
  }

  #readRatings(call: Call) {
    const after = Number(call.query.get("after") ?? 0);
    const ratings = this.#released.slice(after, after + MAX_PAGE_RATINGS);
    return { status: 200, body: { ratings, next: after + ratings.length } };
  }
}

function parseAnswer(call: Call) {
  const { requestId, requestClass, version, answer } = parseJson(call.text);
  if (
    typeof requestId !== "string" ||
    typeof requestClass !== "string" ||
    typeof version !== "string" ||
    typeof answer !== "string"
  ) {
    throw new ReplyError(400, "bad-request");
  }
  const acceptable = !answer.includes(BAD_ANSWER_MARKER);
  return { requestId, requestClass, version, acceptable };
}
