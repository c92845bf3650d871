/**
 * Splits a stream of server-sent events at event boundaries, so that only
 * complete events are forwarded and a stream that breaks can be resumed after
 * the last of them.
 */

const EVENT_BOUNDARY = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)\r?$/gm;
/** A block is an event only with data or an id; comments are keep-alives. */
const EVENT_LINE = /^(?:data|id)(?::|\r?$)/m;
/**
 * Largest incomplete event that is buffered, bytes. Events hold a few tokens,
 * some hundred bytes.
 */
export const MAX_EVENT_BYTES = 65_536;

export interface CompleteEvents {
  /** Complete events; empty if there are none yet. */
  readonly events: Buffer;
  /** Id of the last event that has one. */
  readonly lastEventId?: number;
  /** False where the blocks are only comments, blank lines or other fields. */
  readonly hasEvent: boolean;
}

const NO_EVENTS: CompleteEvents = { events: Buffer.alloc(0), hasEvent: false };

export class EventSplitter {
  #incompleteEvent: Buffer = Buffer.alloc(0);

  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): CompleteEvents {
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
    const events = data.subarray(0, boundaryEnd);
    const text = events.toString("latin1");
    const lastIdText = [...text.matchAll(ID_LINE)].at(-1)?.[1];
    return {
      events,
      hasEvent: EVENT_LINE.test(text),
      lastEventId: lastIdText === undefined ? undefined : Number(lastIdText),
    };
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
