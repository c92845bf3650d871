/**
 * Cuts a stream of events at event boundaries, so that only whole events are
 * passed on and a stream that breaks can go on after its last whole one.
 */

const BOUNDARY = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)\r?$/gm;

export interface EventCut {
  /** Whole events that may be passed on. */
  readonly events: Buffer;
  /** Id of the last of them. */
  readonly lastId?: number;
  readonly count: number;
}

const NOTHING: EventCut = { events: Buffer.alloc(0), count: 0 };

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
    const ids = [...events.toString("latin1").matchAll(ID_LINE)];
    const last = ids.at(-1)?.[1];
    return {
      events,
      count: ids.length,
      lastId: last === undefined ? undefined : Number(last),
    };
  }

  /** Bytes of an event that has not ended. */
  get rest(): Buffer {
    return this.#rest;
  }
}
