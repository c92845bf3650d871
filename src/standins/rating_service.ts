/**
 * Stand-in for the service that rates answers: a synchronous judge that errs
 * at seeded rates, and late ratings of a share of the submitted answers.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { BAD_ANSWER_MARKER } from "./answers.js";
import { applyOptions, type Options } from "./options.js";
import { type Call, type Handler, parseJson, ReplyError } from "./server.js";

export const RATING_SERVICE_OPTIONS = {
  /** Chance that the judge passes an acceptable answer. */
  sensitivity: 0.95,
  /** Chance that the judge rejects an answer that is not acceptable. */
  specificity: 0.9,
  judgeMs: 20,
  /** True: judge calls are answered with 503. */
  outage: false,
  /** Share of submitted answers that get a late rating. */
  ratedShare: 1,
  /** Share of the late ratings that are lost. */
  lostShare: 0,
  lagMs: 1_000,
} satisfies Options;

interface Rating {
  readonly requestId: string;
  readonly requestClass: string;
  readonly version: string;
  readonly accepted: boolean;
}

const MAX_PAGE = 1_000;

export class RatingServiceStandin {
  readonly #options = { ...RATING_SERVICE_OPTIONS };
  readonly #random: () => number;
  readonly #record: object[] = [];
  /** In the order of release, which is the order of the cursor. */
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
      return { status: 200, body: { calls: this.#record } };
    }
    if (this.#options.outage) throw new ReplyError(503, "outage");
    if (route === "POST /judge") return this.#judge(call);
    if (route === "POST /ratings") return this.#submit(call);
    if (route === "GET /ratings") return this.#readRatings(call);
    throw new ReplyError(404, "no-route");
  };

  async #judge(call: Call) {
    const { requestId, requestClass, version, acceptable } = readAnswer(call);
    await sleep(this.#options.judgeMs);
    const { sensitivity, specificity } = this.#options;
    const chance = acceptable ? sensitivity : 1 - specificity;
    const passed = this.#random() < chance;
    const subject = { requestId, requestClass, version, acceptable, passed };
    this.#record.push({ kind: "judge", atMs: Date.now(), ...subject });
    return { status: 200, body: { passed } };
  }

  #submit(call: Call) {
    const { acceptable, ...subject } = readAnswer(call);
    const { ratedShare, lostShare, lagMs } = this.#options;
    const rated = this.#random() < ratedShare;
    const lost = this.#random() < lostShare;
    const rating = { ...subject, accepted: acceptable };
    this.#record.push({ kind: "submit", atMs: Date.now(), ...rating, lost });
    if (rated && !lost) {
      setTimeout(() => this.#released.push(rating), lagMs).unref();
    }
    return { status: 202, body: {} };
  }

  #readRatings(call: Call) {
    const after = Number(call.query.get("after") ?? 0);
    const ratings = this.#released.slice(after, after + MAX_PAGE);
    return { status: 200, body: { ratings, next: after + ratings.length } };
  }
}

function readAnswer(call: Call) {
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
