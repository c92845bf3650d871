/** Questions to other processes over gRPC. */

import { type ChannelCredentials, credentials } from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import { formatAddress } from "../adapters/index.js";
import type { Peer } from "../core/index.js";
import { runWithTimeout } from "../runtime/run_with_timeout.js";
import {
  ConfigSyncClient,
  type ConfirmStateReply,
  type ConfirmStateRequest,
} from "../schema/index.js";

export interface PeerFailure {
  readonly kind: "peer-unreachable";
  readonly peer: string;
  readonly detail: string;
}

/** Asks one process; a failure means that no answer came in time. */
export type AskPeer = (
  peer: Peer,
  request: ConfirmStateRequest,
  options: { timeoutMs: number; signal: AbortSignal },
) => Promise<Result<ConfirmStateReply, PeerFailure>>;

/**
 * The default reconnect backoff rises to two minutes, far over the freshness
 * bound; the pings find a connection that died without a reset.
 */
const CHANNEL_OPTIONS = {
  "grpc.initial_reconnect_backoff_ms": 200,
  "grpc.max_reconnect_backoff_ms": 2_000,
  "grpc.keepalive_time_ms": 5_000,
  "grpc.keepalive_timeout_ms": 1_000,
  "grpc.enable_http_proxy": 0,
};

/** Keeps one channel per address that is in use. */
export class PeerClients {
  readonly #clients = new Map<string, ConfigSyncClient>();
  readonly #credentials: ChannelCredentials = credentials.createInsecure();

  readonly ask: AskPeer = (peer, request, options) =>
    runWithTimeout(options, (signal) => this.#call(peer, request, signal));
  /** Closes the channels to processes that have gone. */
  prune(peers: readonly Peer[]): void {
    const present = new Set(peers.map(formatAddress));
    for (const [address, client] of this.#clients) {
      if (present.has(address)) continue;
      client.close();
      this.#clients.delete(address);
    }
  }

  close(): void {
    this.prune([]);
  }

  /** The timeout is a timer: a gRPC deadline follows the wall clock. */
  #call(
    peer: Peer,
    request: ConfirmStateRequest,
    signal: AbortSignal,
  ): Promise<Result<ConfirmStateReply, PeerFailure>> {
    return new Promise((resolve) => {
      const call = this.#getClient(peer).confirmState(
        request,
        (error, reply) => {
          signal.removeEventListener("abort", cancel);
          if (error === null) return resolve(ok(reply));
          const detail = error.details;
          resolve(err({ kind: "peer-unreachable", peer: peer.name, detail }));
        },
      );
      const cancel = () => call.cancel();
      if (signal.aborted) cancel();
      signal.addEventListener("abort", cancel, { once: true });
    });
  }

  #getClient(peer: Peer): ConfigSyncClient {
    const address = formatAddress(peer);
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = new ConfigSyncClient(
        address,
        this.#credentials,
        CHANNEL_OPTIONS,
      );
      this.#clients.set(address, client);
    }
    return client;
  }
}
