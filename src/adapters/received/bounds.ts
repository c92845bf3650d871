/** Bounds on what other parties send to this process, all in one place. */

/** Who sends; see `RECEIVED_SHARES`. */
export const SENDER = {
  caller: "caller",
  /** Heads of callers' requests. */
  callerHead: "caller-head",
  endpoint: "endpoint",
  peer: "peer",
  store: "store",
} as const;
export type Sender = (typeof SENDER)[keyof typeof SENDER];

/**
 * Share of the host's memory that all received data together may hold. The
 * program itself needs some 50 MB and the heap grows to 100 MB.
 */
export const RECEIVED_PER_HOST_MEMORY = 1 / 6;
/** Memory of the host where the settings don't tell it, MB. */
export const DEFAULT_HOST_MEMORY_MB = 186;

/**
 * Up to which use of that memory each sender gets more. Requests that have not
 * run are refused first; without the store the entry can't go on.
 */
export const RECEIVED_SHARES: Readonly<Record<Sender, number>> = {
  caller: 0.6,
  "caller-head": 0.8,
  endpoint: 0.8,
  peer: 0.9,
  store: 1,
};
/**
 * Share of that memory that unfinished answers of one endpoint may hold, 15.5 MB
 * on the smallest host: 14 answers of the largest size. A quarter refused the
 * twelfth answer of 1 MB that one caller had asked for on one connection.
 */
export const MAX_ENDPOINT_SHARE = 0.5;
/** Bodies up to this size get a bit more, so that large ones don't end them. */
export const SMALL_BODY_BYTES = 16_384;
export const SMALL_BODY_EXTRA_SHARE = 0.1;

/**
 * Chunks of a body that nobody counts, and the bytes of a chunk from which it
 * isn't small. Small ones cost time: a read of the socket has up to 11,000.
 */
export const FREE_CHUNKS = 256;
export const SMALL_CHUNK_BYTES = 64;
/** Further small chunks that are read of all bodies, at once and per second. */
export const SMALL_CHUNKS_AT_ONCE = 50_000;
export const SMALL_CHUNKS_PER_SECOND = 50_000;

/** Most requests of one connection that are open at the same time. */
export const MAX_RUNNING_PER_CONNECTION = 16;
/**
 * Most open requests of all connections besides the first one of each. Callers
 * who wait for their answers have none.
 */
export const MAX_PIPELINED_REQUESTS = 64;

/**
 * Most open connections for metrics, for readiness, and of other entries: 68
 * entries have up to two each.
 */
export const MAX_MONITOR_CONNECTIONS = 128;
export const MAX_PEER_CONNECTIONS = 512;
/**
 * Memory that an open request takes: its objects, and the head as strings that
 * each attempt copies. 3,200 requests with heads of 2 kB took over 70 MB.
 */
export const REQUEST_BYTES = 8_192;
export const BYTES_PER_HEAD_BYTE = 4;
/**
 * Largest answer of an endpoint that is buffered, bytes; services without
 * streams send some kilobytes.
 */
export const MAX_ANSWER_BYTES = 1_048_576;
/** Most bytes of a refusal's body to read so that its connection is kept. */
export const MAX_DISCARDED_BYTES = 65_536;
/**
 * Most bytes that are read of what a caller sends for nothing: the rest of a
 * refused body, or what follows the last response of a connection.
 */
export const MAX_IGNORED_BYTES = 65_536;
/** Longest pause of a caller within a body, ms: it holds its memory. */
export const MAX_BODY_PAUSE_MS = 10_000;
/**
 * Longest pause of an endpoint within an answer above the size of a small body,
 * ms: it holds its memory. Endpoints without streams answer within 3 s.
 */
export const MAX_ANSWER_PAUSE_MS = 10_000;
/**
 * Longest time for a caller's body, ms: above the longest deadline in use, 25 s.
 * Without it, one byte in each pause holds the memory for as long as it likes.
 */
export const MAX_BODY_MS = 30_000;
/** Largest message that is accepted from another entry, bytes. */
export const MAX_MESSAGE_BYTES = 8_388_608;
/**
 * Largest answer of the store that is read, bytes: a page of a list has about
 * 1 MiB, and the answer to a watch call several changes of objects of up to
 * 1 MiB each.
 */
export const MAX_STORE_ANSWER_BYTES = 8_388_608;
/**
 * Most fields in a message of another entry, those of nested messages included.
 * An empty one of two bytes takes up to 150 in memory. A message with 1,000
 * sessions, 1,000 places, 1,000 limits and ten roll-outs has some 25,000.
 */
export const MAX_MESSAGE_FIELDS = 100_000;
/**
 * Most values in an answer of the store, and in the changes that another entry
 * passes on: an empty object of two bytes takes 64 in memory.
 */
export const MAX_STORE_VALUES = 500_000;
/**
 * Most values of all decoded answers of the store that are in use, per MB of
 * the host. One takes up to 150 bytes, as a named field of a large object, and a
 * record of an endpoint has some 25.
 */
export const STORE_VALUES_PER_HOST_MB = 2_000;
/** Share of these values after which a list is cut, as others are read too. */
export const LIST_VALUES_SHARE = 0.5;
/** Most bytes of all pages of a list; the rest is left out. */
export const MAX_STORE_LIST_BYTES = 8_388_608;
