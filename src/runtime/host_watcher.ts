/** Polls the platform's host list; keeps the last one while reads fail. */

import type { HostEntry, HostList, Logger } from "../adapters/index.js";
import { waitFor } from "./run_with_timeout.js";

export interface HostWatcherOptions {
  readonly hostList: HostList;
  readonly log: Logger;
  readonly onHosts: (hosts: readonly HostEntry[]) => void;
}

const POLL_INTERVAL_MS = 1_000;

export class HostWatcher {
  readonly #options: HostWatcherOptions;
  #hosts: readonly HostEntry[] = [];
  #isFailing = false;

  constructor(options: HostWatcherOptions) {
    this.#options = options;
  }

  get hosts(): readonly HostEntry[] {
    return this.#hosts;
  }

  /** Reads the list once, then each second until the signal aborts. */
  async start(signal: AbortSignal): Promise<void> {
    await this.#read(signal);
    void this.#poll(signal);
  }

  async #poll(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await waitFor(POLL_INTERVAL_MS, signal);
      if (!signal.aborted) await this.#read(signal);
    }
  }

  async #read(signal: AbortSignal): Promise<void> {
    const hosts = await this.#options.hostList.readHosts(signal);
    if (signal.aborted) return;
    if (hosts.isErr()) {
      if (!this.#isFailing) {
        this.#options.log.warn("host-list-failed", {
          kind: hosts.error.kind,
          detail: hosts.error.detail,
        });
      }
      this.#isFailing = true;
      return;
    }
    this.#isFailing = false;
    this.#hosts = hosts.value;
    this.#options.onHosts(hosts.value);
  }
}
