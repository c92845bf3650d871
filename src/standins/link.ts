/**
 * TCP relay between two ports of 127.0.0.1, in the process of the test. It
 * interrupts, delays and restores the connections that run through it.
 */

import { connect, createServer, type Server, type Socket } from "node:net";

/** "requests" flow from the side that opens connections, "replies" to it. */
export type Direction = "both" | "requests" | "replies";

export interface CutOptions {
  /**
   * "hold" keeps connections open and their bytes until the link is healed,
   * as a network partition does; "reset" breaks them and refuses new ones.
   */
  readonly mode: "hold" | "reset";
  /** Directions that are held; "both" when absent. */
  readonly direction?: Direction;
}

export interface LinkOptions {
  readonly targetPort: number;
  /** Port to listen on; a free one when absent. */
  readonly port?: number;
  /** Closes the link. */
  readonly signal: AbortSignal;
}

/** A flow with more queued bytes stops reading from its source. */
const MAX_QUEUED_BYTES = 1_000_000;

type QueuedItem = { dueAtMs: number } & (
  | { chunk: Buffer }
  | { chunk?: undefined; end: "end" | "close" | "reset" }
);

/** Shared by all flows of one direction. */
interface FlowState {
  held: boolean;
  delayMs: number;
}

/** One direction of a connection. */
class Flow {
  readonly #source: Socket;
  readonly #sink: Socket;
  readonly #state: FlowState;
  readonly #queue: QueuedItem[] = [];
  #queuedBytes = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    source: Socket,
    sink: Socket,
    options: { state: FlowState; onBytes: (count: number) => void },
  ) {
    const { state, onBytes } = options;
    this.#source = source;
    this.#sink = sink;
    this.#state = state;
    let sourceFailed = false;
    source.on("data", (chunk) => {
      onBytes(chunk.length);
      this.#queuedBytes += chunk.length;
      if (this.#queuedBytes > MAX_QUEUED_BYTES) source.pause();
      this.#enqueue({ dueAtMs: this.#computeDueAtMs(), chunk });
    });
    source.on("end", () =>
      this.#enqueue({ dueAtMs: this.#computeDueAtMs(), end: "end" }),
    );
    source.on("error", () => {
      sourceFailed = true;
    });
    source.on("close", () => {
      const end = sourceFailed ? "reset" : "close";
      this.#enqueue({ dueAtMs: this.#computeDueAtMs(), end });
    });
    sink.on("drain", () => this.flush());
  }

  /** Delivers what is due, in order. */
  flush(): void {
    clearTimeout(this.#timer);
    for (;;) {
      const [item] = this.#queue;
      if (item === undefined || this.#state.held) return;
      if (this.#sink.writableNeedDrain) return;
      const leftMs = item.dueAtMs - performance.now();
      if (leftMs > 0) {
        this.#timer = setTimeout(() => this.flush(), Math.ceil(leftMs));
        return;
      }
      this.#queue.shift();
      this.#deliver(item);
    }
  }

  #computeDueAtMs(): number {
    return performance.now() + this.#state.delayMs;
  }

  #enqueue(item: QueuedItem): void {
    this.#queue.push(item);
    if (this.#queue.length === 1) this.flush();
  }

  #deliver(item: QueuedItem): void {
    const sink = this.#sink;
    if (item.chunk !== undefined) {
      this.#queuedBytes -= item.chunk.length;
      if (this.#queuedBytes <= MAX_QUEUED_BYTES) this.#source.resume();
      if (sink.writable) sink.write(item.chunk);
    } else if (item.end === "end") sink.end();
    else if (item.end === "close") sink.destroySoon();
    else closeByReset(sink);
  }
}

export class Link {
  readonly #server: Server;
  readonly #targetPort: number;
  readonly #sockets = new Set<Socket>();
  readonly #flows = new Set<Flow>();
  readonly #requestState: FlowState = { held: false, delayMs: 0 };
  readonly #replyState: FlowState = { held: false, delayMs: 0 };
  #refusing = false;
  /** Connections opened through the link so far. */
  openedConnections = 0;
  /** Connections that are open now. */
  openConnections = 0;
  /** Ports of callers whose connections the target has not accepted. */
  readonly unacceptedPorts = new Set<number>();
  /** Bytes received from both sides so far, without TCP and IP headers. */
  receivedBytes = 0;

  /** @internal */
  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer({ allowHalfOpen: true }, (socket) =>
      this.#relay(socket),
    );
  }

  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  cut(options: CutOptions): void {
    if (options.mode === "reset") {
      this.#refusing = true;
      this.#resetAll();
      return;
    }
    const { direction = "both" } = options;
    this.#requestState.held = direction !== "replies";
    this.#replyState.held = direction !== "requests";
  }

  /** Ends a cut; held bytes are delivered. */
  heal(): void {
    this.#refusing = false;
    this.#requestState.held = false;
    this.#replyState.held = false;
    for (const flow of this.#flows) flow.flush();
  }

  /** Delays bytes that arrive from now on, in both directions. */
  delay(delayMs: number): void {
    this.#requestState.delayMs = delayMs;
    this.#replyState.delayMs = delayMs;
  }

  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#refusing = true;
    this.#resetAll();
    await closed;
  }

  /** @internal */
  async listen(port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", resolve);
    });
  }

  #resetAll(): void {
    for (const socket of this.#sockets) closeByReset(socket);
  }

  #relay(caller: Socket): void {
    if (this.#refusing) {
      caller.resetAndDestroy();
      return;
    }
    this.openedConnections += 1;
    this.openConnections += 1;
    const target = connect({
      port: this.#targetPort,
      host: "127.0.0.1",
      allowHalfOpen: true,
      noDelay: true,
    });
    const { remotePort = 0 } = caller;
    this.unacceptedPorts.add(remotePort);
    target.once("connect", () => this.unacceptedPorts.delete(remotePort));
    caller.setNoDelay(true);
    const onBytes = (count: number) => {
      this.receivedBytes += count;
    };
    const flows = [
      new Flow(caller, target, { state: this.#requestState, onBytes }),
      new Flow(target, caller, { state: this.#replyState, onBytes }),
    ];
    for (const flow of flows) this.#flows.add(flow);
    let openSockets = 2;
    for (const socket of [caller, target]) {
      this.#sockets.add(socket);
      socket.once("close", () => {
        this.#sockets.delete(socket);
        openSockets -= 1;
        if (openSockets > 0) return;
        this.openConnections -= 1;
        for (const flow of flows) this.#flows.delete(flow);
      });
    }
  }
}

/** libuv refuses to reset a connection whose sending side has ended. */
function closeByReset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/** Opens a relay from a port of its own to the target's port. */
export async function openLink(options: LinkOptions): Promise<Link> {
  const { targetPort, port = 0, signal } = options;
  const link = new Link(targetPort);
  await link.listen(port);
  signal.addEventListener("abort", () => void link.close(), { once: true });
  return link;
}
