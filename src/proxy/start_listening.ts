import type { Server } from "node:net";
import type { NetworkAddress } from "./types.js";

/** Resolves once the server listens; rejects when it can't. */
export function startListening<S extends Server>(
  server: S,
  listenAddress: NetworkAddress,
): Promise<S> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(listenAddress.port, listenAddress.address, () =>
      resolve(server),
    );
  });
}
