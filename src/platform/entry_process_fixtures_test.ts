/** A process of the entry whose output and signals are in a test's hands. */

import { type ChildProcess, spawn } from "node:child_process";
import { createServer, type Server } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { ExitStatus } from "../standins/managed_process.js";
import type { BuiltEntryCommand } from "./built_entry_fixtures_test.js";
import { isReadyAt } from "./soak/fleet.js";

const CHECK_INTERVAL_MS = 20;
/** Above the time of any start, also beside other work. */
const READY_TIMEOUT_MS = 8_000;

export interface EntryProcessOptions {
  /** Leaves standard output unread. */
  readonly isOutputUnread?: boolean;
  /** Limit of open descriptors. */
  readonly maxDescriptors?: number;
}

export class EntryProcess {
  readonly child: ChildProcess;
  readonly #command: BuiltEntryCommand;
  readonly #ended: Promise<ExitStatus>;
  /** How it ended; undefined while it runs. */
  exit: ExitStatus | undefined;
  /** What it has written to standard output. */
  output = "";
  errorOutput = "";

  constructor(command: BuiltEntryCommand, options: EntryProcessOptions = {}) {
    const { isOutputUnread = false, maxDescriptors } = options;
    this.#command = command;
    const args = [...command.nodeFlags, command.file, ...command.args];
    const spawnOptions = {
      stdio: ["ignore", "pipe", "pipe"] as const,
      env: { ...process.env, ...command.env },
    };
    this.child =
      maxDescriptors === undefined
        ? spawn(process.execPath, args, { ...spawnOptions, stdio: "pipe" })
        : spawn(
            "/bin/sh",
            [
              "-c",
              `ulimit -n ${maxDescriptors}; exec "$@"`,
              "sh",
              process.execPath,
              ...args,
            ],
            { ...spawnOptions, stdio: "pipe" },
          );
    if (!isOutputUnread) {
      this.child.stdout?.on("data", (data) => {
        this.output += data;
      });
    }
    this.child.stderr?.on("data", (data) => {
      this.errorOutput += data;
    });
    this.#ended = new Promise((resolve) => {
      this.child.once("exit", (code, signal) => {
        this.exit = { code: code ?? undefined, signal: signal ?? undefined };
        resolve(this.exit);
      });
    });
  }

  /** How it ends within the time; undefined if it does not. */
  async waitForExit(timeoutMs: number): Promise<ExitStatus | undefined> {
    const timer = new AbortController();
    const timeout = delay(timeoutMs, undefined, { signal: timer.signal }).catch(
      () => undefined,
    );
    const status = await Promise.race([this.#ended, timeout]);
    timer.abort();
    return status;
  }

  /** Resolves to false if it ends or is not ready in time. */
  async waitUntilReady(timeoutMs = READY_TIMEOUT_MS): Promise<boolean> {
    const untilMs = performance.now() + timeoutMs;
    while (performance.now() < untilMs && this.exit === undefined) {
      if (await isReadyAt(this.#command.ports.readiness)) return true;
      await delay(CHECK_INTERVAL_MS);
    }
    return false;
  }

  async kill(): Promise<void> {
    if (this.exit === undefined) this.child.kill("SIGKILL");
    await this.#ended;
  }
}

/** Holds a port for a time, as a process that has not yet ended does. */
export async function occupyPort(port: number): Promise<Server> {
  const server = createServer((socket) => socket.destroy());
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", resolve);
  });
  return server;
}
