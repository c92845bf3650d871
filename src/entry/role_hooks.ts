/**
 * Replacements of single parts of a role. Only test code sets them, to show
 * that a test fails when a guard is missing; no setting can set them.
 */

import type { HostList, ObjectStore } from "../adapters/index.js";
import type { ConfigView } from "../configuration/config_view.js";
import type { ReceiptHolder } from "../endpoint/gate_service.js";
import type { RunBackend } from "../endpoint/run_backend.js";
import type { SendLoadOrder } from "../endpoint/version_loader.js";
import type { SessionResult } from "../request/caller_server.js";

/** @internal */
export interface RoleHooks {
  readonly wrapStore?: (store: ObjectStore) => ObjectStore;
  readonly wrapHostList?: (list: HostList) => HostList;
  /** Wraps the configuration that the endpoint's gate uses. */
  readonly wrapGateView?: (config: ConfigView) => ConfigView;
  readonly wrapBackend?: (run: RunBackend) => RunBackend;
  readonly wrapSendLoadOrder?: (send: SendLoadOrder) => SendLoadOrder;
  readonly wrapReceipts?: (receipts: ReceiptHolder) => ReceiptHolder;
  /** Replaces the entry's look-up of a session's version. */
  readonly resolveSession?: () => SessionResult;
}

/** Applies a hook when it is set. @internal */
export function applyHook<T>(hook: ((part: T) => T) | undefined, part: T): T {
  return hook === undefined ? part : hook(part);
}
