/**
 * Accepts the connections of callers while the program is still loading. A port
 * without a listener refuses them, and a caller whose retry is refused as well
 * fails. A caller whose connection is held for a moment is served.
 */

import { createServer, type Server, type Socket } from "node:net";
import type { NetworkAddress } from "../proxy/index.js";

export class EarlyListener {
  readonly listenAddress: NetworkAddress;
  readonly #server: Server;
  readonly #heldSockets: Socket[] = [];
  #hasFailed = false;

  constructor(listenAddress: NetworkAddress) {
    this.listenAddress = listenAddress;
    this.#server = createServer({ pauseOnConnect: true }, (socket) => {
      // A connection that breaks while it is held.
      socket.on("error", () => undefined);
      this.#heldSockets.push(socket);
    });
    // The caller server then opens the port itself and reports why it can't.
    this.#server.on("error", () => {
      this.#hasFailed = true;
    });
    this.#server.listen(listenAddress.port, listenAddress.address);
  }

  /** Whether it listens on the address that a server is to listen on. */
  isListeningOn(listenAddress: NetworkAddress): boolean {
    const { address, port } = this.listenAddress;
    const isSameAddress =
      address === listenAddress.address && port === listenAddress.port;
    return isSameAddress && !this.#hasFailed && this.#server.listening;
  }

  /** Closes the port and the held connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#heldSockets) socket.destroy();
  }

  /** Passes the port and the held connections on to another server. */
  async handOverTo<S extends Server>(server: S): Promise<S> {
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.#server, () => {
        server.off("error", reject);
        resolve();
      });
    });
    for (const socket of this.#heldSockets.splice(0)) {
      server.emit("connection", socket);
      socket.resume();
    }
    return server;
  }
}
