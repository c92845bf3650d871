/** Kept connections to endpoints. */

import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Idle time after which a kept connection may be gone at the other end, ms. */
const MAX_IDLE_MS = 4_000;

/** Closes an idle connection on which bytes arrive that nobody asked for. */
class EndpointAgent extends Agent {
  override keepSocketAlive(socket: Socket): boolean {
    // Its types say that the hook gives nothing; false closes the socket.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    socket.once("data", closeSocket);
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off("data", closeSocket);
    super.reuseSocket(socket, request);
  }
}

function closeSocket(this: Socket): void {
  this.destroy();
}

export class Connections {
  readonly #agents = new Map<string, EndpointAgent>();
  readonly #signal: AbortSignal;

  constructor(signal: AbortSignal) {
    this.#signal = signal;
    signal.addEventListener("abort", () => this.#closeAll(), { once: true });
  }

  /** `most` connections are kept and opened at once. */
  getAgent(endpointId: string, most: number): Agent {
    let agent = this.#agents.get(endpointId);
    if (agent === undefined) {
      agent = new EndpointAgent({
        keepAlive: true,
        maxSockets: Math.max(1, most),
        maxFreeSockets: Math.max(1, most),
        scheduling: "lifo",
        timeout: MAX_IDLE_MS,
      });
      if (!this.#signal.aborted) this.#agents.set(endpointId, agent);
    }
    return agent;
  }

  /** Forgets an endpoint; running requests keep their connections. */
  remove(endpointId: string): void {
    const agent = this.#agents.get(endpointId);
    if (agent === undefined) return;
    this.#agents.delete(endpointId);
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  #closeAll(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }
}
