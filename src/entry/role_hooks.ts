/**
 * Replacements of single parts of a role. Only test wiring sets them, to show
 * that a test notices when a guard is missing; no setting reaches them.
 */

import type { HostList, ObjectStore } from "../adapters/index.js";
import type { ConfigView } from "../configuration/config_view.js";
import type { RunBackend } from "../endpoint/endpoint_backend.js";
import type { OrderEngine } from "../endpoint/endpoint_orders.js";
import type { ReceiptHolder } from "../endpoint/endpoint_service.js";
import type { SessionResult } from "../request/caller_server.js";

/** @internal */
export interface RoleHooks {
  readonly wrapStore?: (store: ObjectStore) => ObjectStore;
  readonly wrapHostList?: (list: HostList) => HostList;
  /** The configuration by which the endpoint's gate decides. */
  readonly wrapGateView?: (config: ConfigView) => ConfigView;
  readonly wrapBackend?: (run: RunBackend) => RunBackend;
  readonly wrapOrders?: (order: OrderEngine) => OrderEngine;
  readonly wrapReceipts?: (receipts: ReceiptHolder) => ReceiptHolder;
  /** Takes the place of the entry's look-up of a session's version. */
  readonly resolveSession?: () => SessionResult;
}

/** Applies a hook when it is set. @internal */
export function applyHook<T>(hook: ((part: T) => T) | undefined, part: T): T {
  return hook === undefined ? part : hook(part);
}
