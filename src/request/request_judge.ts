/** Asks the judge whether an answer is acceptable. */

import {
  METRICS,
  type Metrics,
  type RatingService,
} from "../adapters/index.js";
import type { Attempt, PendingRequest } from "./pending_request.js";
import { readAnswerText } from "./request_outcome.js";

export interface JudgeOptions {
  readonly ratings?: RatingService;
  readonly metrics: Metrics;
  /** Monotonic milliseconds. */
  readonly now: () => number;
}

const JUDGE_TIMEOUT_MS = 2_000;

/** Returns undefined when the judge gives no verdict in time. */
export async function callJudge(
  pending: PendingRequest,
  attempt: Attempt,
  options: JudgeOptions,
): Promise<boolean | undefined> {
  const { ratings, metrics, now } = options;
  const { id: requestId, requestClass, deadlineAtMs } = pending.route;
  const { version } = attempt;
  const remainingMs = deadlineAtMs - now();
  const timeoutMs = Math.max(1, Math.min(JUDGE_TIMEOUT_MS, remainingMs));
  const verdict = await ratings?.judge(
    { requestId, requestClass, version, answer: readAnswerText(attempt) },
    AbortSignal.timeout(Math.ceil(timeoutMs)),
  );
  const passed = verdict?.isOk() ? verdict.value : undefined;
  metrics.addCount(METRICS.judged, {
    class: requestClass,
    version,
    verdict: formatVerdict(passed),
  });
  return passed;
}

function formatVerdict(passed: boolean | undefined): string {
  if (passed === undefined) return "none";
  return passed ? "passed" : "rejected";
}
