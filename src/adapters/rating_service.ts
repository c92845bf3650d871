/** Service that rates answers, as the program sees it; HTTP adapter. */

import type { ResultAsync } from "neverthrow";
import {
  type CallFailure,
  checkStatus,
  toCallFailure,
  toMalformed,
} from "./call_failure.js";
import { HttpClient, type HttpTarget } from "./http_client.js";
import { createParser } from "./replies.js";

export interface RatedAnswer {
  readonly requestId: string;
  readonly requestClass: string;
  readonly version: string;
  readonly answer: string;
}

export interface Rating {
  readonly requestId: string;
  readonly requestClass: string;
  readonly version: string;
  readonly accepted: boolean;
}

export interface RatingPage {
  readonly ratings: Rating[];
  /** Cursor for the next read. */
  readonly next: number;
}

export interface RatingService {
  /** True when the judge passes the answer. */
  judge(
    answer: RatedAnswer,
    signal: AbortSignal,
  ): ResultAsync<boolean, CallFailure>;
  /** Hands in an answer for a late rating, which may never come. */
  submitForRating(
    answer: RatedAnswer,
    signal: AbortSignal,
  ): ResultAsync<void, CallFailure>;
  /** Late ratings in the order of their release, after the cursor; 0 for all. */
  readRatings(
    after: number,
    signal: AbortSignal,
  ): ResultAsync<RatingPage, CallFailure>;
}

const parseVerdict = createParser<{ passed: boolean }>({
  type: "object",
  required: ["passed"],
  properties: { passed: { type: "boolean" } },
});
const parsePage = createParser<RatingPage>({
  type: "object",
  required: ["ratings", "next"],
  properties: {
    next: { type: "integer", minimum: 0 },
    ratings: {
      type: "array",
      items: {
        type: "object",
        required: ["requestId", "requestClass", "version", "accepted"],
        properties: {
          requestId: { type: "string" },
          requestClass: { type: "string" },
          version: { type: "string" },
          accepted: { type: "boolean" },
        },
      },
    },
  },
});

export function createHttpRatingService(target: HttpTarget): RatingService {
  const client = new HttpClient(target);
  function post(path: string, answer: RatedAnswer, signal: AbortSignal) {
    const body = JSON.stringify(answer);
    return client
      .send({ method: "POST", path, body }, signal)
      .mapErr(toCallFailure)
      .andThen(checkStatus);
  }
  return {
    judge: (answer, signal) =>
      post("/judge", answer, signal).andThen((reply) =>
        parseVerdict(reply.body)
          .map(({ passed }) => passed)
          .mapErr(toMalformed),
      ),
    submitForRating: (answer, signal) =>
      post("/ratings", answer, signal).map(() => undefined),
    readRatings: (after, signal) =>
      client
        .send({ method: "GET", path: `/ratings?after=${after}` }, signal)
        .mapErr(toCallFailure)
        .andThen(checkStatus)
        .andThen((reply) => parsePage(reply.body).mapErr(toMalformed)),
  };
}
