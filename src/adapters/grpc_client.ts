/** gRPC channels between the system's own processes. */

import {
  type Client,
  type ClientOptions,
  type ClientUnaryCall,
  credentials,
  Metadata,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import { err, ok, ResultAsync } from "neverthrow";

/** Fields of a failed call that decide what may have happened. */
export interface PeerFailure {
  readonly kind: "unreachable" | "timeout" | "cancelled" | "call-failed";
  readonly detail: string;
}

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
const KEEPALIVE_MS = 5_000;

const CHANNEL_OPTIONS: ClientOptions = {
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
  // Finds a peer that vanished without closing its connection.
  "grpc.keepalive_time_ms": KEEPALIVE_MS,
  "grpc.keepalive_timeout_ms": KEEPALIVE_MS,
  "grpc.initial_reconnect_backoff_ms": 200,
  "grpc.max_reconnect_backoff_ms": 2_000,
};

type ClientClass<C extends Client> = new (
  address: string,
  channelCredentials: ReturnType<typeof credentials.createInsecure>,
  options: ClientOptions,
) => C;

/** Address of a process for gRPC; an IPv6 number goes into brackets. */
export function formatAddress(process: {
  readonly address: string;
  readonly controlPort: number;
}): string {
  const { address, controlPort } = process;
  return address.includes(":")
    ? `[${address}]:${controlPort}`
    : `${address}:${controlPort}`;
}

/** Opens a client that lives until the signal aborts. */
export function openClient<C extends Client>(
  clientClass: ClientClass<C>,
  address: string,
  signal: AbortSignal,
): C {
  const client = new clientClass(
    address,
    credentials.createInsecure(),
    CHANNEL_OPTIONS,
  );
  signal.addEventListener("abort", () => client.close(), { once: true });
  return client;
}

/** Says what a failed call means for the request it carried. */
export function toPeerFailure(error: ServiceError): PeerFailure {
  const detail = error.details || error.message;
  if (error.code === status.UNAVAILABLE) return { kind: "unreachable", detail };
  if (error.code === status.DEADLINE_EXCEEDED) {
    return { kind: "timeout", detail };
  }
  if (error.code === status.CANCELLED) return { kind: "cancelled", detail };
  return { kind: "call-failed", detail };
}

type UnaryMethod<Q, R> = (
  request: Q,
  metadata: Metadata,
  options: { deadline: Date },
  callback: (error: ServiceError | null, reply: R) => void,
) => ClientUnaryCall;

export interface UnaryOptions {
  timeoutMs: number;
  signal: AbortSignal;
}

/** Makes a unary call that ends at the timeout or when the signal aborts. */
export function callUnary<Q, R>(
  method: UnaryMethod<Q, R>,
  request: Q,
  options: UnaryOptions,
): ResultAsync<R, PeerFailure> {
  const promise = new Promise<R>((resolve, reject) => {
    const deadline = new Date(Date.now() + options.timeoutMs);
    const call = method(
      request,
      new Metadata(),
      { deadline },
      (error, reply) => {
        options.signal.removeEventListener("abort", cancel);
        if (error) reject(error);
        else resolve(reply);
      },
    );
    const cancel = () => call.cancel();
    options.signal.addEventListener("abort", cancel, { once: true });
    if (options.signal.aborted) cancel();
  });
  return new ResultAsync(
    promise.then(
      (reply) => ok<R, PeerFailure>(reply),
      (error: ServiceError) => err<R, PeerFailure>(toPeerFailure(error)),
    ),
  );
}
