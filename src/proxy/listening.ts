import type { Server } from "node:http";
import type { NetworkAddress } from "./types.js";

/** Settles once the server listens. */
export function startListening(
  server: Server,
  place: NetworkAddress,
): Promise<Server> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(place.port, place.address, () => resolve(server));
  });
}
