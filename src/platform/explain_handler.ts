/** Answers an operator's question where a request would be routed. */

import { createRefusal, type Refusal } from "../core/errors.js";
import {
  describeRouting,
  type ExplainOptions,
  type MessageHandler,
  type RequestExplanation,
  type WireFormat,
} from "../proxy/index.js";
import { decodeExplainQuery } from "./explain_query.js";

/** HTTP path of the question; its body is JSON. */
export const EXPLAIN_PATH = "/explain";

export interface ExplainHandlerOptions extends ExplainOptions {
  readonly wire: Pick<WireFormat, "parseRequest">;
}

/** The answer is JSON: an explanation, or an error with `code`. */
export function createExplainHandler(
  options: ExplainHandlerOptions,
): MessageHandler {
  return (data) => {
    const answer = answerQuery(options, data);
    const body =
      "kind" in answer ? { code: answer.code, detail: answer.detail } : answer;
    return Buffer.from(`${JSON.stringify(body)}\n`);
  };
}

function answerQuery(
  options: ExplainHandlerOptions,
  data: Uint8Array,
): RequestExplanation | Refusal {
  const decoded = decodeExplainQuery(data);
  if (decoded.isErr())
    return createRefusal("bad-request", decoded.error.detail);
  const { method, path, headers, model } = decoded.value;
  const facts = options.wire.parseRequest(method, path, headers);
  if (facts === undefined) {
    return createRefusal("bad-request", "The request has no id or no host");
  }
  return describeRouting(options, facts, model);
}
