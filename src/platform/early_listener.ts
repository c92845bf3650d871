/**
 * Takes the connections of callers while the program is still being loaded. A
 * port without a listener refuses them, and a caller who had no better luck at
 * its repeat is lost; a caller who is kept waiting for a moment is not.
 */

import { createServer, type Server, type Socket } from "node:net";
import type { NetworkAddress } from "../proxy/index.js";

export class EarlyListener {
  readonly place: NetworkAddress;
  readonly #server: Server;
  readonly #waiting: Socket[] = [];
  #hasFailed = false;

  constructor(place: NetworkAddress) {
    this.place = place;
    this.#server = createServer({ pauseOnConnect: true }, (socket) => {
      this.#waiting.push(socket);
    });
    // The server that takes over opens the port itself then, and tells why not.
    this.#server.once("error", () => {
      this.#hasFailed = true;
    });
    this.#server.listen(place.port, place.address);
  }

  /** True where it holds the port that a server wants. */
  isHolding(place: NetworkAddress): boolean {
    const { address, port } = this.place;
    const isSame = address === place.address && port === place.port;
    return isSame && !this.#hasFailed && this.#server.listening;
  }

  /** Gives up the port. */
  close(): void {
    this.#server.close();
    for (const socket of this.#waiting) socket.destroy();
  }

  /** Gives the port and the connections that wait to another server. */
  async bindTo<S extends Server>(server: S): Promise<S> {
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.#server, resolve);
    });
    for (const socket of this.#waiting.splice(0)) {
      server.emit("connection", socket);
      socket.resume();
    }
    return server;
  }
}
