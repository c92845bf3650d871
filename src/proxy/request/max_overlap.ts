/**
 * How long two endpoints may work on one request, ms; after 400 ms the
 * platform counts it as run twice.
 */
export const MAX_OVERLAP_MS = 300;
