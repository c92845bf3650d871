/**
 * Follows the ids of the events that a caller has received, and checks that an
 * answer that resumes its stream goes on after the last of them.
 */

const AFTER_BLOCK = /(?<=\n\r?\n)/;
const ID_LINE = /^id: ?(\d+)\r?$/gm;
/** A block is an event only with data or an id; comments are keep-alives. */
const EVENT_LINE = /^(?:data|id)(?::|\r?$)/m;
/**
 * Lines of an answer that resumes a stream: comments, fields of event streams,
 * and other fields with a number. Text of an error is none of these.
 */
const RESUMED_LINE =
  /^(?::.*|(?:data|id|event|retry)(?::.*)?|[a-z][a-z-]*: ?\d+)?$/;
const LINE_END = /\r\n|\n|\r/;
const EMPTY_LINES = ["\n", "\r\n"];
/** In each block with an id; quicker to look for than a line. */
const ID_FIELD = "id:";
/** A line of the first answer that is neither a field, a comment nor empty. */
const FOREIGN_LINE = /^(?![\w-]+(?::|$)|:|$)/m;
/** Byte order mark at the start of a stream, decoded as latin1. */
const BYTE_ORDER_MARK = "\xef\xbb\xbf";

export interface AcceptedEvents {
  /** The blocks up to the first one that does not belong to the stream. */
  readonly events: Buffer;
  /**
   * Bytes of the blocks that are events; 0 where there are only comments, blank
   * lines or other fields.
   */
  readonly eventBytes: number;
  /** Why the next block does not belong to the stream. */
  readonly fault?: string;
}

export class EventSequence {
  #lastEventId: number | undefined;
  #answers = 0;
  #hasEventOfAnswer = false;
  /** Largest difference between ids that follow each other in one answer. */
  #largestStep = 1;
  /** The caller has an event after the last one with an id. */
  #hasUnnumberedEvent = false;
  /** The events of this answer have to follow on `lastEventId`. */
  #mustFollow = false;
  #isStart = true;

  /** `lastEventId` is that of the last event that the caller has. */
  constructor(lastEventId?: number) {
    this.#lastEventId = lastEventId;
  }

  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** False where the caller's last event has no id to go on after. */
  get canResume(): boolean {
    return !this.#hasUnnumberedEvent;
  }

  /**
   * False for an answer that resumes a stream without an event: it may be
   * empty for other reasons than that the stream had come to its end.
   */
  get mayEnd(): boolean {
    return this.#answers <= 1 || this.#hasEventOfAnswer;
  }

  /** The next events come from another answer than those before. */
  beginAnswer(): void {
    this.#answers++;
    this.#hasEventOfAnswer = false;
    this.#isStart = true;
    this.#mustFollow = this.#answers > 1 && this.#lastEventId !== undefined;
  }

  /** Takes complete blocks as far as they belong to the caller's stream. */
  accept(blocks: Buffer): AcceptedEvents {
    let acceptedBytes = 0;
    let eventBytes = 0;
    for (const block of blocks.toString("latin1").split(AFTER_BLOCK)) {
      const isEvent = EVENT_LINE.test(block);
      const fault = this.#acceptBlock(block, isEvent);
      if (fault !== undefined) {
        return { events: blocks.subarray(0, acceptedBytes), eventBytes, fault };
      }
      acceptedBytes += block.length;
      if (isEvent) eventBytes += block.length;
    }
    return { events: blocks, eventBytes };
  }

  #acceptBlock(block: string, isEvent: boolean): string | undefined {
    if (!EMPTY_LINES.includes(block) && this.#hasForeignLine(block)) {
      return "A block is not of an event stream";
    }
    this.#isStart = false;
    if (!isEvent) return undefined;
    const id = findId(block);
    if (this.#mustFollow && !this.#follows(id)) {
      return `Event ${id ?? "without id"} does not follow ${this.#lastEventId}`;
    }
    this.#record(id);
    return undefined;
  }

  #hasForeignLine(block: string): boolean {
    if (this.#answers > 1) {
      return block.split(LINE_END).some((line) => !RESUMED_LINE.test(line));
    }
    const hasMark = this.#isStart && block.startsWith(BYTE_ORDER_MARK);
    return FOREIGN_LINE.test(
      hasMark ? block.slice(BYTE_ORDER_MARK.length) : block,
    );
  }

  #follows(id: number | undefined): boolean {
    if (id === undefined || this.#lastEventId === undefined) return false;
    const step = id - this.#lastEventId;
    return step > 0 && step <= this.#largestStep;
  }

  #record(id: number | undefined): void {
    this.#hasUnnumberedEvent = id === undefined;
    const isLater = this.#hasEventOfAnswer;
    this.#hasEventOfAnswer = true;
    if (id === undefined) return;
    if (isLater && this.#lastEventId !== undefined) {
      this.#largestStep = Math.max(this.#largestStep, id - this.#lastEventId);
    }
    this.#lastEventId = id;
  }
}

function findId(block: string): number | undefined {
  if (!block.includes(ID_FIELD)) return undefined;
  const idText = [...block.matchAll(ID_LINE)].at(-1)?.[1];
  return idText === undefined ? undefined : Number(idText);
}
