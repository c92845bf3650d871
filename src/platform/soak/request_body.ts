/** Bodies of the soak's requests. */

export const REQUEST_BODY = "order";

/** Body of a request on which a replica works for the given time. */
export function formatWork(workMs: number): string {
  return `${REQUEST_BODY} work=${workMs}`;
}

export function parseWorkMs(body: string): number {
  return Number(/ work=(\d+)$/.exec(body)?.[1] ?? 0);
}
