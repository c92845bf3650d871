/** Pools of keep-alive connections, one pool for each endpoint. */

import {
  Agent,
  type AgentOptions,
  type ClientRequest,
  type ClientRequestArgs,
} from "node:http";
import type { Socket, TcpNetConnectOpts } from "node:net";
import { EndpointSocket } from "./endpoint_socket.js";
import { ReadTurns } from "./read_turns.js";

/** Idle time after which the endpoint may have closed a connection, ms. */
const MAX_IDLE_MS = 4_000;

/**
 * Closes an idle connection on which unsolicited bytes arrive. All connections
 * take turns.
 */
class EndpointAgent extends Agent {
  readonly #turns: ReadTurns;

  constructor(turns: ReadTurns, options: AgentOptions) {
    super(options);
    this.#turns = turns;
  }

  override createConnection(options: ClientRequestArgs): Socket {
    // Node passes options of a socket, whatever the type says.
    const connectOptions = options as TcpNetConnectOpts;
    const socket = new EndpointSocket(
      { turns: this.#turns, endpoint: this },
      connectOptions,
    );
    if (options.timeout !== undefined) socket.setTimeout(options.timeout);
    return socket.connect(connectOptions);
  }

  override keepSocketAlive(socket: Socket): boolean {
    // Bytes after the answer wait for their turn.
    if (socket.readableLength > 0) return false;
    // The type says void, but Node closes the socket when this returns false.
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
  readonly #turns: ReadTurns;

  /** `now` is a monotonic clock, ms. */
  constructor(signal: AbortSignal, now = () => performance.now()) {
    this.#signal = signal;
    this.#turns = new ReadTurns(now);
    signal.addEventListener("abort", () => this.#closeAll(), { once: true });
  }

  /** `maxConnections` limits open and idle connections to the endpoint. */
  getAgent(endpointId: string, maxConnections: number): Agent {
    let agent = this.#agents.get(endpointId);
    if (agent === undefined) {
      agent = new EndpointAgent(this.#turns, {
        keepAlive: true,
        maxSockets: Math.max(1, maxConnections),
        maxFreeSockets: Math.max(1, maxConnections),
        scheduling: "lifo",
        timeout: MAX_IDLE_MS,
      });
      if (!this.#signal.aborted) this.#agents.set(endpointId, agent);
    }
    return agent;
  }

  /** Removes an endpoint's pool; running requests keep their connections. */
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
