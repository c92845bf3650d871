/**
 * Splits a stream of server-sent events at event boundaries, so that only
 * complete events are forwarded and a stream that breaks can be resumed after
 * the last of them.
 */

const EVENT_BOUNDARY = Buffer.from("\n\n");
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
    const boundaryStart = data.lastIndexOf(EVENT_BOUNDARY);
    if (boundaryStart < 0) {
      this.#incompleteEvent = data;
      return NO_EVENTS;
    }
    const boundaryEnd = boundaryStart + EVENT_BOUNDARY.length;
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
