/** The gRPC service `Gate` on top of the gate and its runner. */

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
  type FrameReader,
  reportFault,
} from "./endpoint_runner.js";

/** Keeps the second copies of receipts. */
export interface ReceiptHolder {
  hold(request: HoldReceiptRequest): boolean;
  release(request: ReleaseReceiptsRequest): void;
}

export type AttachCall = ServerWritableStream<AttachRequest, EndpointStatus>;

export interface ServiceOptions {
  readonly runner: EndpointRunner;
  readonly receipts: ReceiptHolder;
  readonly log: EndpointLog;
  /** Takes over a new status stream until it is cancelled. */
  readonly addWatcher: (call: AttachCall) => void;
}

function createServiceError(error: unknown): Partial<ServiceError> {
  return { code: status.INTERNAL, details: `Gate failed: "${error}"` };
}

function createReader(call: ServerWritableStream<unknown, Frame>): FrameReader {
  return {
    write: (frame) => void call.write(frame),
    end: () => call.end(),
  };
}

export function createGateService(options: ServiceOptions): GateServer {
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
    handle: (request: Request, reader: FrameReader) => () => void,
  ) {
    return (call: ServerWritableStream<Request, Frame>) => {
      try {
        const detach = handle(call.request, createReader(call));
        call.on("cancelled", detach);
        call.on("error", detach);
      } catch (error) {
        reportFault(log, name, error);
        call.emit("error", createServiceError(error));
      }
    };
  }

  return {
    attach: (call: AttachCall) => options.addWatcher(call),
    dispatch: answerFrames("Dispatch", (request, reader) =>
      runner.dispatch(request, reader),
    ),
    resume: answerFrames("Resume", (request, reader) =>
      runner.resume(request, reader),
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
