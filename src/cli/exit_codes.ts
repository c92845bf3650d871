/** Exit codes of the command-line tool; docs/OPERATIONS.md lists them. */
export const EXIT_CODES = {
  done: 0,
  refused: 1,
  usage: 2,
  unreachable: 3,
  unknownOutcome: 4,
} as const;

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
