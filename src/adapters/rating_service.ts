/** Interface and HTTP client of the service that rates answers. */

import type { ResultAsync } from "neverthrow";
import {
  type CallFailure,
  checkStatus,
  toCallFailure,
  toMalformedFailure,
} from "./call_failure.js";
import { HttpClient, type HttpTarget } from "./http_client.js";
import { createJsonParser } from "./json_parser.js";

export interface AnswerToRate {
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
  /** Has the answer judged; true when it passes. */
  judge(
    answer: AnswerToRate,
    signal: AbortSignal,
  ): ResultAsync<boolean, CallFailure>;
  /** Submits an answer for a later rating, which may never come. */
  submitForRating(
    answer: AnswerToRate,
    signal: AbortSignal,
  ): ResultAsync<void, CallFailure>;
  /** Reads ratings after the cursor in order of release; cursor 0 reads all. */
  readRatings(
    after: number,
    signal: AbortSignal,
  ): ResultAsync<RatingPage, CallFailure>;
}

const parseVerdict = createJsonParser<{ passed: boolean }>({
  type: "object",
  required: ["passed"],
  properties: { passed: { type: "boolean" } },
});
const parseRatingPage = createJsonParser<RatingPage>({
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
  function post(path: string, answer: AnswerToRate, signal: AbortSignal) {
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
          .mapErr(toMalformedFailure),
      ),
    submitForRating: (answer, signal) =>
      post("/ratings", answer, signal).map(() => undefined),
    readRatings: (after, signal) =>
      client
        .send({ method: "GET", path: `/ratings?after=${after}` }, signal)
        .mapErr(toCallFailure)
        .andThen(checkStatus)
        .andThen((reply) =>
          parseRatingPage(reply.body).mapErr(toMalformedFailure),
        ),
  };
}
