/** gRPC handlers of the `ConfigSync` service, for an entry's server. */

import { type handleUnaryCall, status } from "@grpc/grpc-js";
import { InvariantError } from "../core/index.js";
import { failProcess } from "../runtime/run_with_timeout.js";
import type {
  ConfigSyncServer,
  ConfirmStateReply,
  ConfirmStateRequest,
} from "../schema/index.js";
import type { ConfigSync } from "./config_sync.js";

type Handler = handleUnaryCall<ConfirmStateRequest, ConfirmStateReply>;

/** Handlers for `server.addService(ConfigSyncService, …)`. */
export function createConfigSyncHandlers(sync: ConfigSync): ConfigSyncServer {
  const confirmState: Handler = (call, callback) => {
    const controller = new AbortController();
    call.on("cancelled", () => controller.abort());
    sync.confirmState(call.request, controller.signal).then(
      (reply) => callback(null, reply),
      (error: Error) => {
        callback({ code: status.INTERNAL, details: error.message });
        // A broken invariant must end the process, not just fail this call.
        if (error instanceof InvariantError) {
          failProcess(error);
        }
      },
    );
  };
  return { confirmState };
}
