import type { Server } from "node:net";
import type { NetworkAddress } from "./types.js";

/** Settles once the server listens. */
export function startListening<S extends Server>(
  server: S,
  place: NetworkAddress,
): Promise<S> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(place.port, place.address, () => resolve(server));
  });
}
