/** The gRPC service `Gate`, which passes calls to the endpoint runner. */

import {
  type ServerWritableStream,
  type ServiceError,
  type sendUnaryData,
  status,
} from "@grpc/grpc-js";
import type {
  AttachRequest,
  EndpointStatus,
  Frame,
  GateServer,
  HoldReceiptRequest,
  ReleaseReceiptsRequest,
} from "../schema/index.js";
import {
  type EndpointLog,
  type EndpointRunner,
  type FrameSink,
  reportFault,
} from "./endpoint_runner.js";

/** Holds copies of the entries' receipts. */
export interface ReceiptHolder {
  hold(request: HoldReceiptRequest): boolean;
  release(request: ReleaseReceiptsRequest): void;
}

export type AttachCall = ServerWritableStream<AttachRequest, EndpointStatus>;

export interface GateServiceOptions {
  readonly runner: EndpointRunner;
  readonly receipts: ReceiptHolder;
  readonly log: EndpointLog;
  /** Sends the status on a new stream until the stream is cancelled. */
  readonly addStatusStream: (call: AttachCall) => void;
}

function createServiceError(error: unknown): Partial<ServiceError> {
  return { code: status.INTERNAL, details: `Gate failed: "${error}"` };
}

function createFrameSink(
  call: ServerWritableStream<unknown, Frame>,
): FrameSink {
  return {
    write: (frame) => void call.write(frame),
    end: () => call.end(),
  };
}

export function createGateService(options: GateServiceOptions): GateServer {
  const { runner, receipts, log } = options;

  function answerUnary<Request, Reply>(
    name: string,
    handle: (request: Request) => Reply,
  ) {
    return (call: { request: Request }, reply: sendUnaryData<Reply>) => {
      try {
        reply(null, handle(call.request));
      } catch (error) {
        reportFault(log, name, error);
        reply(createServiceError(error));
      }
    };
  }

  function answerFrames<Request>(
    name: string,
    handle: (request: Request, sink: FrameSink) => () => void,
  ) {
    return (call: ServerWritableStream<Request, Frame>) => {
      try {
        const detach = handle(call.request, createFrameSink(call));
        call.on("cancelled", detach);
        call.on("error", detach);
      } catch (error) {
        reportFault(log, name, error);
        call.emit("error", createServiceError(error));
      }
    };
  }

  return {
    attach: (call: AttachCall) => options.addStatusStream(call),
    dispatch: answerFrames("Dispatch", (request, sink) =>
      runner.dispatch(request, sink),
    ),
    resume: answerFrames("Resume", (request, sink) =>
      runner.resume(request, sink),
    ),
    cancel: answerUnary("Cancel", (request) => {
      runner.cancel(request);
      return {};
    }),
    lookUpAttempt: answerUnary("LookUpAttempt", (request) =>
      runner.lookUp(request),
    ),
    holdReceipt: answerUnary("HoldReceipt", (request: HoldReceiptRequest) => ({
      held: receipts.hold(request),
    })),
    releaseReceipts: answerUnary(
      "ReleaseReceipts",
      (request: ReleaseReceiptsRequest) => {
        receipts.release(request);
        return {};
      },
    ),
  };
}
