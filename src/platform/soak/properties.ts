/** The properties that the soak on the platform's edge judges. */

export const PROPERTIES = [
  "ranTwice",
  "falseNotRun",
  "wrongAnswer",
  "wrongStream",
  "foreignAnswer",
  "withdrawnKeyServed",
  "leavingReplicaServed",
  "leavingWordIgnored",
  "pauseIgnored",
  "limitExceeded",
  "crashingPartSent",
  "crashingRequestSent",
  "soundPromptRefused",
  "cutByPlannedStop",
  "cutBySilence",
  "lostRequest",
  "answeredLate",
  "unexpectedExit",
  "memoryExceeded",
  "notRecovered",
] as const;
export type Property = (typeof PROPERTIES)[number];
