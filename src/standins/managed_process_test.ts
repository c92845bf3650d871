import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createHttpObjectStore } from "../adapters/index.js";
import { startProcess } from "./managed_process.js";
import {
  createLocalTarget,
  expectErr,
  expectOk,
  NEVER_ABORTED,
  SUITE_TIMEOUT_MS,
  TEST_TIMEOUT_MS,
  waitUntil,
} from "./testing.js";

const MAIN = fileURLToPath(new URL("./main.js", import.meta.url));
const STORE_ARGS = ["object-store", "--port", "0"];
const BAD_ARGS = [...STORE_ARGS, "--delay-ms", "x"];

async function createDirectory(context: TestContext): Promise<string> {
  const directory = await mkdtemp(join(tmpdir(), "process-test-"));
  context.after(() => rm(directory, { recursive: true, force: true }));
  return directory;
}

async function startStore(context: TestContext, logFile?: string) {
  const controller = new AbortController();
  context.after(() => controller.abort());
  const { signal } = controller;
  const spec = { file: MAIN, args: STORE_ARGS, signal, logFile };
  const managed = await expectOk(startProcess(spec));
  return { managed, controller };
}

async function isServing(port: number, timeoutMs = 300): Promise<boolean> {
  const store = createHttpObjectStore({
    ...createLocalTarget(port),
    timeoutMs,
  });
  return (await store.read("a", NEVER_ABORTED)).isOk();
}

/** A frozen process accepts connections, so only a refusal proves its end. */
async function waitUntilClosed(port: number): Promise<void> {
  const target = { ...createLocalTarget(port), timeoutMs: 200 };
  const store = createHttpObjectStore(target);
  const write = { key: "a", value: 1, ifVersion: 0 };
  await waitUntil(async () => {
    const result = await store.write(write, NEVER_ABORTED);
    return result.isErr() && result.error.kind === "unavailable";
  });
}

describe("managed process", { timeout: SUITE_TIMEOUT_MS }, () => {
  it("starts a stand-in, waits until it is ready and stops it with code 0", async (t) => {
    const logFile = join(await createDirectory(t), "store.log");
    const { managed } = await startStore(t, logFile);
    assert.ok(await isServing(managed.port, TEST_TIMEOUT_MS));
    assert.deepEqual(await managed.stop(), { code: 0, signal: undefined });
    await sleep(50);
    assert.match(await readFile(logFile, "utf8"), /^ready port=\d+\n$/);
  });

  it("reports a process that exits, is never ready or is aborted", async (t) => {
    const file = join(await createDirectory(t), "silent.mjs");
    await writeFile(file, "setInterval(() => {}, 1_000);\n");
    const starts = [
      startProcess({ file: MAIN, args: ["no-kind"], signal: NEVER_ABORTED }),
      startProcess({ file: MAIN, args: BAD_ARGS, signal: NEVER_ABORTED }),
      startProcess({
        file,
        args: [],
        signal: NEVER_ABORTED,
        readyTimeoutMs: 300,
      }),
      startProcess({ file, args: [], signal: AbortSignal.timeout(200) }),
    ];
    const failures = [];
    for (const start of starts) failures.push(await expectErr(start));
    assert.deepEqual(
      failures.map(({ kind }) => kind),
      ["exited", "exited", "timeout", "aborted"],
    );
    assert.match(failures[1]?.detail ?? "", /"code":2/);
  });

  it("freezes and resumes a process, and stops or kills a frozen one", async (t) => {
    const first = await startStore(t);
    const { managed } = first;
    managed.freeze();
    assert.equal(await isServing(managed.port), false);
    managed.resume();
    assert.ok(await isServing(managed.port, TEST_TIMEOUT_MS));
    managed.freeze();
    assert.deepEqual(await managed.stop(), { code: 0, signal: undefined });
    const second = await startStore(t);
    second.managed.freeze();
    second.controller.abort();
    assert.equal((await second.managed.exited).signal, "SIGKILL");
  });

  it("kills all processes when their parent is killed, even frozen ones", async (t) => {
    const file = join(await createDirectory(t), "parent.mjs");
    const helper = new URL("./managed_process.js", import.meta.url).href;
    const spec = JSON.stringify({ file: MAIN, args: STORE_ARGS });
    await writeFile(
      file,
      `import { startProcess } from "${helper}";
const { signal } = new AbortController();
const start = async () =>
  (await startProcess({ ...${spec}, signal }))._unsafeUnwrap();
const frozen = await start();
const awake = await start();
frozen.freeze();
console.log(frozen.port, awake.port);
setTimeout(() => process.exit(1), 20_000);
`,
    );
    const parent = spawn(process.execPath, [file], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    t.after(() => parent.kill("SIGKILL"));
    const [line] = await once(parent.stdout, "data");
    const [frozen = 0, awake = 0] = String(line).split(" ").map(Number);
    assert.ok(await isServing(awake, TEST_TIMEOUT_MS));
    parent.kill("SIGKILL");
    for (const port of [frozen, awake]) await waitUntilClosed(port);
  });
});
