/** gRPC client for calls between Hornbeamrill's own processes. */

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

/** Failure of a call; the kind shows whether the call may have run. */
export interface GrpcFailure {
  readonly kind: "unreachable" | "timeout" | "cancelled" | "call-failed";
  readonly detail: string;
}

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
const KEEPALIVE_MS = 5_000;

const CHANNEL_OPTIONS: ClientOptions = {
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
  // Detects a peer that disappeared without closing its connection.
  "grpc.keepalive_time_ms": KEEPALIVE_MS,
  "grpc.keepalive_timeout_ms": KEEPALIVE_MS,
  "grpc.initial_reconnect_backoff_ms": 200,
  "grpc.max_reconnect_backoff_ms": 2_000,
};

type ClientClass<ClientType extends Client> = new (
  address: string,
  channelCredentials: ReturnType<typeof credentials.createInsecure>,
  options: ClientOptions,
) => ClientType;

/** Address and port for gRPC; an IPv6 address is put in brackets. */
export function formatAddress(process: {
  readonly address: string;
  readonly controlPort: number;
}): string {
  const { address, controlPort } = process;
  return address.includes(":")
    ? `[${address}]:${controlPort}`
    : `${address}:${controlPort}`;
}

/** Opens a client that is closed when the signal aborts. */
export function openClient<ClientType extends Client>(
  clientClass: ClientClass<ClientType>,
  address: string,
  signal: AbortSignal,
): ClientType {
  const client = new clientClass(
    address,
    credentials.createInsecure(),
    CHANNEL_OPTIONS,
  );
  signal.addEventListener("abort", () => client.close(), { once: true });
  return client;
}

/** Reduces a gRPC status to what matters for the request in the call. */
export function toGrpcFailure(error: ServiceError): GrpcFailure {
  const detail = error.details || error.message;
  if (error.code === status.UNAVAILABLE) return { kind: "unreachable", detail };
  if (error.code === status.DEADLINE_EXCEEDED) {
    return { kind: "timeout", detail };
  }
  if (error.code === status.CANCELLED) return { kind: "cancelled", detail };
  return { kind: "call-failed", detail };
}

type UnaryMethod<RequestType, ReplyType> = (
  request: RequestType,
  metadata: Metadata,
  options: { deadline: Date },
  callback: (error: ServiceError | null, reply: ReplyType) => void,
) => ClientUnaryCall;

export interface UnaryOptions {
  timeoutMs: number;
  signal: AbortSignal;
}

/** Makes a unary call that ends at the timeout or when the signal aborts. */
export function callUnary<RequestType, ReplyType>(
  method: UnaryMethod<RequestType, ReplyType>,
  request: RequestType,
  options: UnaryOptions,
): ResultAsync<ReplyType, GrpcFailure> {
  const promise = new Promise<ReplyType>((resolve, reject) => {
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
      (reply) => ok<ReplyType, GrpcFailure>(reply),
      (error: ServiceError) =>
        err<ReplyType, GrpcFailure>(toGrpcFailure(error)),
    ),
  );
}
