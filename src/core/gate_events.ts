/** The options, events and decisions of the endpoint's gate. */

import type { DispatchRequest, Frame } from "../schema/index.js";
import type { AttemptRegistryLimits } from "./attempt_registry.js";
import type { Refusal } from "./errors.js";
import type { GateView, LocalState } from "./gate_checks.js";

export interface GateOptions {
  readonly endpoint: string;
  readonly dataCentre: string;
  readonly kind: "model" | "service";
  /** Plain services behind the endpoint; empty for an engine. */
  readonly services: readonly string[];
  readonly slots: number;
  readonly slotsWhileCold: number;
  readonly maxBodyBytes: number;
  /** Returns a new random epoch. */
  readonly createEpoch: () => string;
  readonly view: GateView;
  readonly registryLimits?: AttemptRegistryLimits;
}

/** The content of an engine's load report. */
export interface EngineReport {
  /** New at each start of the engine. */
  readonly startId: string;
  readonly cold: boolean;
  /** Versions that the engine has loaded; absent for a plain service. */
  readonly versions?: readonly string[];
  /** Slots that the engine has now, if it reports them. */
  readonly slots?: number;
}

/** How a call to the back end, an engine or a plain service, ended. */
export type RunOutcome =
  | {
      readonly kind: "completed";
      readonly status: number;
      readonly promptTokens: number;
      readonly outputTokens: number;
      readonly body: Uint8Array;
      readonly contentType: string;
      /** New at each start of the engine or service. */
      readonly startId?: string;
    }
  | {
      readonly kind: "failed";
      readonly refusal: Refusal;
      /** True when the failure may mean that the engine is cold. */
      readonly isEngineFault: boolean;
    };

export type GateEvent =
  | { readonly type: "dispatch"; readonly request: DispatchRequest }
  /** The fetch of a revision has ended, with or without success. */
  | { readonly type: "fetched"; readonly key: string }
  | {
      readonly type: "finished";
      readonly key: string;
      readonly outcome: RunOutcome;
    }
  | { readonly type: "cancel"; readonly key: string }
  | { readonly type: "report"; readonly report: EngineReport }
  | { readonly type: "leaving"; readonly reason: LocalState["leaving"] }
  /** Sent every `TICK_MS` and at each new revision. */
  | { readonly type: "tick" };

export type GateDecision =
  /** The attempt has started: the back end must be called at once. */
  | { readonly type: "start"; readonly key: string }
  /** The attempt waits for this revision, which must be fetched. */
  | {
      readonly type: "fetch";
      readonly key: string;
      readonly revision: number;
      readonly remainingMs: number;
    }
  /** A frame for every reader of the attempt. */
  | { readonly type: "frame"; readonly key: string; readonly frame: Frame }
  /** The dispatch itself is refused; the attempt, if any, is not touched. */
  | { readonly type: "reject"; readonly refusal: Refusal }
  /** The call to the back end must be aborted. */
  | { readonly type: "abort"; readonly key: string };

export const TICK_MS = 50;
