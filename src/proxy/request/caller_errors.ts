/** Ends callers' connections that are idle, overdue or can't be read. */

import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { type ConnectionReads, NO_HEAD_MEMORY_CODE } from "../reading/index.js";
import type { CallerConnections } from "./caller_connections.js";
import { waitForPendingReads } from "./wait_for_pending_reads.js";

const OVERDUE_HEAD_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Refuses what Node's parser rejects or waited for in vain. */
function createParseRefusal(code: string | undefined): string {
  const statuses: Record<string, number> = {
    [OVERDUE_HEAD_CODE]: 408,
    HPE_HEADER_OVERFLOW: 431,
    [NO_HEAD_MEMORY_CODE]: 503,
  };
  const status = statuses[code ?? ""] ?? 400;
  const retryAfter = status === 503 ? "Retry-After: 1\r\n" : "";
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${retryAfter}Connection: close\r\n\r\n`;
}

/** Node's own answer would be taken for that to a request which still runs. */
export async function refuseUnreadable(
  callerConnections: CallerConnections,
  callerReads: ConnectionReads,
  error: NodeJS.ErrnoException,
  socket: Duplex,
): Promise<void> {
  if (error.code === OVERDUE_HEAD_CODE) {
    const response = callerConnections.getNewestResponse(socket);
    await waitForPendingReads();
    // The rest of the head had come, and lay unread.
    if (callerConnections.getNewestResponse(socket) !== response) return;
    if (callerReads.hasWaitingBytes(socket)) return;
  }
  callerReads.discardRest(socket);
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const isAnswering = callerConnections.isAnswering(socket);
  callerConnections.closeAfterAnswers(socket, error);
  if (isAnswering) return;
  const isRefused = callerConnections.isReceiving(socket);
  socket.end(isRefused ? undefined : createParseRefusal(error.code));
}

/** Node closes a connection so much later than callers are told. */
const CLOSE_MARGIN_MS = 1_000;

interface IdleTime {
  readonly bytesRead: number;
  readonly ms: number;
}

/** Idle times of connections whose first timer has ended. */
const idleTimes = new WeakMap<Socket, IdleTime>();

/**
 * Closes a connection after its idle time, unless a request lies unread. Its
 * timer is that of an older configuration, which may have allowed less.
 */
export async function closeIfIdle(
  callerConnections: CallerConnections,
  socket: Socket,
  idleTimeoutMs: number,
): Promise<void> {
  const { bytesRead, timeout = 0 } = socket;
  await waitForPendingReads();
  if (socket.bytesRead > bytesRead || callerConnections.isAnswering(socket)) {
    return;
  }
  const before = idleTimes.get(socket);
  const ms = timeout + (before?.bytesRead === bytesRead ? before.ms : 0);
  const leftMs = idleTimeoutMs + CLOSE_MARGIN_MS - ms;
  if (timeout === 0 || leftMs <= 0) {
    socket.destroy();
    return;
  }
  idleTimes.set(socket, { bytesRead, ms });
  socket.setTimeout(leftMs);
}
