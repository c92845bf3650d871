/**
 * Cuts a stream of events at event boundaries, so that only whole events are
 * passed on and a stream that breaks can go on after its last whole one.
 */

const BOUNDARY = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)\r?$/gm;
/** Only data and ids make a block an event; comments are signs of life. */
const EVENT_LINE = /^(?:data|id)(?::|\r?$)/m;
/**
 * Largest part of an event that is kept until its end, bytes. Events hold a
 * few tokens, some hundred bytes.
 */
export const MAX_EVENT_BYTES = 65_536;

export interface EventCut {
  /** Whole events that may be passed on. */
  readonly events: Buffer;
  /** Id of the last of them. */
  readonly lastId?: number;
  /** False where only comments and blank lines came. */
  readonly hasEvent: boolean;
}

const NOTHING: EventCut = { events: Buffer.alloc(0), hasEvent: false };

export class EventCutter {
  #rest: Buffer = Buffer.alloc(0);

  push(chunk: Buffer): EventCut {
    const data =
      this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const end = data.lastIndexOf(BOUNDARY);
    if (end < 0) {
      this.#rest = data;
      return NOTHING;
    }
    const cut = end + BOUNDARY.length;
    this.#rest = data.subarray(cut);
    const events = data.subarray(0, cut);
    const text = events.toString("latin1");
    const last = [...text.matchAll(ID_LINE)].at(-1)?.[1];
    return {
      events,
      hasEvent: EVENT_LINE.test(text),
      lastId: last === undefined ? undefined : Number(last),
    };
  }

  /** The event that has not ended is larger than any may be. */
  get isOversized(): boolean {
    return this.#rest.length > MAX_EVENT_BYTES;
  }

  /** Bytes of an event that has not ended. */
  get rest(): Buffer {
    return this.#rest;
  }
}
