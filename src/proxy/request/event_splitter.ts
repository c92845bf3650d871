/**
 * Splits a stream of server-sent events at event boundaries, so that only
 * complete events are forwarded and a stream that breaks can be resumed after
 * the last of them. What it costs is linear in the bytes, however small the
 * chunks are in which they come.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/**
 * Largest incomplete event that is buffered, bytes. Events hold a few tokens,
 * some hundred bytes.
 */
export const MAX_EVENT_BYTES = 65_536;
const MIN_BUFFER_BYTES = 256;

const NO_EVENTS = Buffer.alloc(0);

export class EventSplitter {
  /** Has room for more than the bytes in use. */
  #buffer = NO_EVENTS;
  #length = 0;
  /** Bytes at the start that were searched for boundaries. */
  #searchedLength = 0;

  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): Buffer {
    this.append(chunk);
    return this.takeEvents();
  }

  append(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    if (length > this.#buffer.length) this.#grow(length);
    if (chunk.length === 1) this.#buffer[this.#length] = chunk[0] ?? 0;
    else this.#buffer.set(chunk, this.#length);
    this.#length = length;
  }

  /** Removes the events that are complete. */
  takeEvents(): Buffer {
    const data = this.#buffer.subarray(0, this.#length);
    const end = findLastBoundaryEnd(data, this.#searchedLength);
    this.#searchedLength = this.#length;
    if (end === undefined) return NO_EVENTS;
    // The events may wait to be written, so the rest moves to a new buffer.
    const rest = data.subarray(end);
    this.#buffer = NO_EVENTS;
    this.#length = 0;
    if (rest.length > 0) this.append(rest);
    this.#searchedLength = this.#length;
    return data.subarray(0, end);
  }

  #grow(length: number): void {
    const size = Math.max(MIN_BUFFER_BYTES, length, 2 * this.#buffer.length);
    const buffer = Buffer.allocUnsafe(size);
    buffer.set(this.#buffer.subarray(0, this.#length));
    this.#buffer = buffer;
  }

  /** True when the incomplete event exceeds `MAX_EVENT_BYTES`. */
  get isOversized(): boolean {
    return this.#length > MAX_EVENT_BYTES;
  }

  /** Bytes after the last event boundary. */
  get incompleteEvent(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }
}

/** Searches only boundaries that end after the first `searchedLength` bytes. */
function findLastBoundaryEnd(
  data: Buffer,
  searchedLength: number,
): number | undefined {
  for (let index = data.length - 1; index >= searchedLength; index--) {
    if (data[index] === LINE_FEED && isAfterLineEnd(data, index)) {
      return index + 1;
    }
  }
  return undefined;
}

/** Lines end with LF or with CRLF. */
function isAfterLineEnd(data: Buffer, index: number): boolean {
  const last = data[index - 1];
  return (
    last === LINE_FEED ||
    (last === CARRIAGE_RETURN && data[index - 2] === LINE_FEED)
  );
}
