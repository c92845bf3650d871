/**
 * Splits a stream of server-sent events at event boundaries, so that only
 * complete events are forwarded and a stream that breaks can be resumed after
 * the last of them.
 */

/** Ends of an event, with lines that end with LF or with CRLF. */
const EVENT_BOUNDARIES = [Buffer.from("\n\n"), Buffer.from("\n\r\n")];
/**
 * Largest incomplete event that is buffered, bytes. Events hold a few tokens,
 * some hundred bytes.
 */
export const MAX_EVENT_BYTES = 65_536;

const NO_EVENTS = Buffer.alloc(0);

export class EventSplitter {
  #incompleteEvent: Buffer = Buffer.alloc(0);

  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): Buffer {
    const data =
      this.#incompleteEvent.length === 0
        ? chunk
        : Buffer.concat([this.#incompleteEvent, chunk]);
    const boundaryEnd = findLastBoundaryEnd(data);
    if (boundaryEnd === undefined) {
      this.#incompleteEvent = data;
      return NO_EVENTS;
    }
    this.#incompleteEvent = data.subarray(boundaryEnd);
    return data.subarray(0, boundaryEnd);
  }

  /** True when the incomplete event exceeds `MAX_EVENT_BYTES`. */
  get isOversized(): boolean {
    return this.#incompleteEvent.length > MAX_EVENT_BYTES;
  }

  /** Bytes after the last event boundary. */
  get incompleteEvent(): Buffer {
    return this.#incompleteEvent;
  }
}

function findLastBoundaryEnd(data: Buffer): number | undefined {
  const ends = EVENT_BOUNDARIES.map((boundary) => {
    const start = data.lastIndexOf(boundary);
    return start < 0 ? 0 : start + boundary.length;
  });
  const lastEnd = Math.max(...ends);
  return lastEnd === 0 ? undefined : lastEnd;
}
