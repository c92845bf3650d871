/** Reads a streamed answer and checks that it arrived complete. */

import { err, ok, type Result } from "neverthrow";
import type { ChunkListener } from "./engine.js";
import { createJsonParser } from "./json_parser.js";
import { EventTooLarge, readEvents } from "./server_sent_events.js";

export interface TokenUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

export interface StreamFailure {
  readonly kind: "failed" | "truncated" | "malformed";
  readonly detail: string;
}

interface ChunkDocument {
  choices: { delta?: { content?: string | null } }[];
  usage?: { prompt_tokens: number; completion_tokens: number } | null;
}

const TOKEN_COUNT_SCHEMA = { type: "integer", minimum: 0 };
const parseChunk = createJsonParser<ChunkDocument>({
  type: "object",
  required: ["choices"],
  properties: {
    choices: {
      type: "array",
      items: {
        type: "object",
        properties: {
          delta: {
            type: "object",
            properties: { content: { type: ["string", "null"] } },
          },
        },
      },
    },
    usage: {
      type: ["object", "null"],
      required: ["prompt_tokens", "completion_tokens"],
      properties: {
        prompt_tokens: TOKEN_COUNT_SCHEMA,
        completion_tokens: TOKEN_COUNT_SCHEMA,
      },
    },
  },
});

/** An answer is complete when both the token usage and `[DONE]` arrived. */
export async function readCompletion(
  stream: AsyncIterable<Buffer>,
  onChunk: ChunkListener,
): Promise<Result<TokenUsage, StreamFailure>> {
  let usage: TokenUsage | undefined;
  try {
    for await (const { event, data } of readEvents(stream)) {
      if (event === "error") return fail("failed", `Engine sent error ${data}`);
      if (data === "[DONE]") {
        if (usage !== undefined) return ok(usage);
        return fail("malformed", "Stream ended without token usage");
      }
      const chunk = parseChunk(data);
      if (chunk.isErr()) return fail("malformed", chunk.error.detail);
      const { choices, usage: tokenCounts } = chunk.value;
      if (tokenCounts) {
        usage = {
          promptTokens: tokenCounts.prompt_tokens,
          outputTokens: tokenCounts.completion_tokens,
        };
      }
      if (choices.length === 0) continue;
      await onChunk({ data, text: choices[0]?.delta?.content ?? "" });
    }
  } catch (error) {
    if (!(error instanceof EventTooLarge)) throw error;
    return fail("malformed", error.message);
  }
  return fail("truncated", "Stream ended without [DONE]");
}

function fail(
  kind: StreamFailure["kind"],
  detail: string,
): Result<never, StreamFailure> {
  return err({ kind, detail });
}
