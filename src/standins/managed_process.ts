/**
 * Starts and stops processes of this project for the demo, the soak test and
 * tests. A guard process kills them when this process ends for any reason.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once, setMaxListeners } from "node:events";
import { createWriteStream } from "node:fs";
import { Socket } from "node:net";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { err, ok, type Result, ResultAsync } from "neverthrow";

export interface ProcessSpec {
  /** JavaScript file under `dist`. */
  readonly file: string;
  readonly args: readonly string[];
  /** Flags of Node itself, as in the first line of the daemon's file. */
  readonly nodeFlags?: readonly string[];
  /** Kills the process when it aborts. */
  readonly signal: AbortSignal;
  /** Receives the output, which is dropped when no file is given. */
  readonly logFile?: string;
  /** Time limit for the ready line. */
  readonly readyTimeoutMs?: number;
  /** Environment variables in addition to those of this process. */
  readonly env?: Readonly<Record<string, string>>;
  /** Matches the line by which the process reports that it is ready. */
  readonly readyLine?: RegExp;
}

export interface StartFailure {
  readonly kind: "exited" | "timeout" | "aborted";
  readonly detail: string;
}

export interface ExitStatus {
  /** Absent when a signal ended the process. */
  readonly code?: number;
  readonly signal?: NodeJS.Signals;
}

/** Default start of the line by which a process reports that it is ready. */
const READY_LINE = /^ready\b/;
const DEFAULT_READY_TIMEOUT_MS = 15_000;
/** Above the longest graceful shutdown; a process that exceeds it is killed. */
const DEFAULT_STOP_TIMEOUT_MS = 30_000;

/** Starts a Node process and waits for its ready line. */
export function startProcess(
  spec: ProcessSpec,
): ResultAsync<ManagedProcess, StartFailure> {
  return new ResultAsync(startAndWait(spec));
}

async function startAndWait(
  spec: ProcessSpec,
): Promise<Result<ManagedProcess, StartFailure>> {
  const { file, args, nodeFlags = [], signal } = spec;
  const { readyTimeoutMs = DEFAULT_READY_TIMEOUT_MS } = spec;
  if (signal.aborted) {
    return err({ kind: "aborted", detail: `"${file}" was not started` });
  }
  const child = spawn(process.execPath, [...nodeFlags, file, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, ...spec.env },
  });
  const managed = new ManagedProcess(child, signal);
  const ready = readLines(child, spec);
  const timer = new AbortController();
  const outcome = await Promise.race([
    ready.then((line) => ({ line })),
    managed.exited.then((status) => ({ status })),
    waitForTimeout(readyTimeoutMs, timer.signal),
  ]);
  timer.abort();
  if (outcome !== undefined && "line" in outcome) {
    managed.readyLine = outcome.line;
    return ok(managed);
  }
  await managed.kill();
  if (signal.aborted) {
    return err({ kind: "aborted", detail: `"${file}" was aborted` });
  }
  if (outcome === undefined) {
    const detail = `"${file}" was not ready within ${readyTimeoutMs} ms`;
    return err({ kind: "timeout", detail });
  }
  const status = JSON.stringify(outcome.status);
  return err({ kind: "exited", detail: `"${file}" exited with ${status}` });
}

/** Resolves after the timeout, or never if the signal aborts before. */
function waitForTimeout(
  timeoutMs: number,
  signal: AbortSignal,
): Promise<undefined> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, timeoutMs, undefined);
    signal.addEventListener("abort", () => clearTimeout(timer), { once: true });
  });
}

/** Appends the output to the log file; resolves with the ready line. */
function readLines(child: ChildProcess, spec: ProcessSpec): Promise<string> {
  const { logFile, readyLine = READY_LINE } = spec;
  if (logFile === undefined) child.stderr?.resume();
  else {
    const log = createWriteStream(logFile, { flags: "a" });
    child.stdout?.pipe(log, { end: false });
    child.stderr?.pipe(log, { end: false });
    child.once("close", () => log.end());
  }
  return new Promise((resolve) => {
    if (child.stdout === null) return;
    createInterface({ input: child.stdout }).on("line", (line) => {
      if (readyLine.test(line)) resolve(line);
    });
  });
}

export class ManagedProcess {
  readonly #child: ChildProcess;
  /** Resolves when the process has ended. */
  readonly exited: Promise<ExitStatus>;
  readyLine = "";
  #running = true;

  /** @internal */
  constructor(child: ChildProcess, signal: AbortSignal) {
    this.#child = child;
    const { pid } = child;
    if (pid !== undefined) sendToGuard(`+${pid}`);
    const kill = () => this.#sendSignal("SIGKILL");
    // Many processes share a signal; Node warns above 10 listeners.
    setMaxListeners(0, signal);
    signal.addEventListener("abort", kill, { once: true });
    this.exited = waitForExit(child).finally(() => {
      this.#running = false;
      signal.removeEventListener("abort", kill);
      if (pid !== undefined) sendToGuard(`-${pid}`);
    });
  }

  get pid(): number | undefined {
    return this.#child.pid;
  }

  /** Port named by the ready line, such as `ready port=4000`. */
  get port(): number {
    return Number(/\bport=(\d+)/.exec(this.readyLine)?.[1] ?? 0);
  }

  /** Requests a graceful shutdown; kills the process after the timeout. */
  async stop(stopTimeoutMs = DEFAULT_STOP_TIMEOUT_MS): Promise<ExitStatus> {
    this.#sendSignal("SIGTERM");
    // A frozen process would not see the signal.
    this.resume();
    const timer = setTimeout(() => this.#sendSignal("SIGKILL"), stopTimeoutMs);
    const status = await this.exited;
    clearTimeout(timer);
    return status;
  }

  kill(): Promise<ExitStatus> {
    this.#sendSignal("SIGKILL");
    return this.exited;
  }

  /** Asks the process to read its settings again. */
  sendHangUp(): void {
    this.#sendSignal("SIGHUP");
  }

  /** Requests a graceful shutdown, also of a process that shuts down already. */
  sendTerminate(): void {
    this.#sendSignal("SIGTERM");
  }

  /** Suspends the process, as a long pause of its host does. */
  freeze(): void {
    this.#sendSignal("SIGSTOP");
  }

  resume(): void {
    this.#sendSignal("SIGCONT");
  }

  /** Does nothing after the end, as the id may be reused by another process. */
  #sendSignal(signal: NodeJS.Signals): void {
    if (this.#running) this.#child.kill(signal);
  }
}

async function waitForExit(child: ChildProcess): Promise<ExitStatus> {
  try {
    const [code, signal] = await once(child, "exit");
    return { code: code ?? undefined, signal: signal ?? undefined };
  } catch {
    // The process was never started, so it has neither code nor signal.
    return {};
  }
}

let guard: ChildProcess | undefined;

function sendToGuard(line: string): void {
  guard ??= startGuard();
  guard.stdin?.write(`${line}\n`);
}

/** Detached, so that a signal to this process's group doesn't reach it. */
function startGuard(): ChildProcess {
  const file = fileURLToPath(new URL("./process_guard.js", import.meta.url));
  const child = spawn(process.execPath, [file], {
    detached: true,
    stdio: ["pipe", "ignore", "ignore"],
  });
  child.unref();
  // The pipe is a socket, whose handle would keep this process running.
  if (child.stdin instanceof Socket) child.stdin.unref();
  child.stdin?.on("error", () => {
    // The guard has ended; the processes are still killed by their signals.
  });
  return child;
}
