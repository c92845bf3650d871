/** When a replica ends under a request that it begins to run. */

export const BODY_CRASH_TIME = {
  /** Without a byte of the answer. */
  beforeHead: "before-head",
  afterHead: "after-head",
} as const;
export type BodyCrashTime =
  (typeof BODY_CRASH_TIME)[keyof typeof BODY_CRASH_TIME];
