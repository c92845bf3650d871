/**
 * Sockets that read little at once. A read of Node's own sockets brings up to
 * 64 KiB, which each of many connections would hold until its bytes are parsed.
 */

import { Socket, type SocketConstructorOpts } from "node:net";

/** Bytes of one read. */
export const READ_BYTES = 4_096;

/** Shared by all sockets: what is read is copied before the next read. */
const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES);

interface SocketHandle {
  reading: boolean;
  readStop(): void;
}

/** Properties of Node's sockets that its types leave out. */
interface HandleOwner {
  _handle: SocketHandle | null;
  /** Counts its open connections. */
  _server: unknown;
}

/**
 * Replaces the socket of an accepted connection. `receive` gets the bytes of
 * each read, and returns false to read no more for now.
 */
export function createSmallReader(
  accepted: Socket,
  receive: (bytes: Buffer) => boolean,
): Socket {
  const owner = accepted as Socket & HandleOwner;
  const options = {
    handle: owner._handle,
    allowHalfOpen: true,
    onread: {
      buffer: readBuffer,
      callback: (bytes: number, buffer: Uint8Array) =>
        receive(Buffer.from(buffer.subarray(0, bytes))),
    },
  };
  const socket = new Socket(options as SocketConstructorOpts);
  (socket as Socket & HandleOwner)._server = owner._server;
  owner._server = null;
  owner._handle = null;
  return socket;
}

/** Stops the reads of a socket; those of its stream don't start them. */
export function stopReads(socket: Socket): void {
  const { _handle: handle } = socket as Socket & HandleOwner;
  if (!handle?.reading) return;
  handle.reading = false;
  handle.readStop();
}
