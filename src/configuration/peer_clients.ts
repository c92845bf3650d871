/** gRPC clients that ask other processes for their revision. */

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

/** Sends one request; a failure means that no reply came in time. */
export type AskPeer = (
  peer: Peer,
  request: ConfirmStateRequest,
  options: { timeoutMs: number; signal: AbortSignal },
) => Promise<Result<ConfirmStateReply, PeerFailure>>;

/**
 * gRPC's default reconnect backoff grows to two minutes, far more than the
 * freshness bound. The pings detect connections that died without a reset.
 */
const CHANNEL_OPTIONS = {
  "grpc.initial_reconnect_backoff_ms": 200,
  "grpc.max_reconnect_backoff_ms": 2_000,
  "grpc.keepalive_time_ms": 5_000,
  "grpc.keepalive_timeout_ms": 1_000,
  "grpc.enable_http_proxy": 0,
};

/** Keeps one channel per peer address. */
export class PeerClients {
  readonly #clients = new Map<string, ConfigSyncClient>();
  readonly #credentials: ChannelCredentials = credentials.createInsecure();

  readonly ask: AskPeer = (peer, request, options) =>
    runWithTimeout(options, (signal) => this.#call(peer, request, signal));

  /** Closes the channels to processes that the host list no longer names. */
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

  /** Uses no gRPC deadline, since that follows the wall clock. */
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
