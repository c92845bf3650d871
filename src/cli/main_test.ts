import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import { findClosedPort } from "../standins/testing.js";
import { OPERATOR_TOKEN } from "../testbed/fleet.js";
import { startSmallSystem } from "../testbed/small_system_test.js";

const MAIN = fileURLToPath(new URL("./main.js", import.meta.url));

interface Exit {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

function runTool(port: number, ...args: string[]): Promise<Exit> {
  const env = {
    ...process.env,
    HORNBEAMRILL_ENTRY: `http://127.0.0.1:${port}`,
    HORNBEAMRILL_TOKEN: OPERATOR_TOKEN,
  };
  return new Promise((resolve) => {
    const options = { env, timeout: 15_000 };
    execFile(process.execPath, [MAIN, ...args], options, (error, out, text) => {
      const code = error === null ? 0 : Number(error.code ?? -1);
      resolve({ code, out, error: text });
    });
  });
}

async function startServer(t: TestContext, listener: RequestListener) {
  const server = createServer(listener).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

/** Answers GET /state, and each ticket with the listener. */
function startEntry(t: TestContext, onTicket: RequestListener) {
  const state = {
    versions: { a: { name: "a" } },
    subjects: { "version/a": 3 },
  };
  return startServer(t, (request, response) => {
    if (request.method === "GET") response.end(JSON.stringify(state));
    else onTicket(request, response);
  });
}

describe("command-line tool", { timeout: 90_000 }, () => {
  let folder = "";
  before(async () => {
    folder = await mkdtemp(join(tmpdir(), "cli-test-"));
  });
  after(() => rm(folder, { recursive: true }));

  it("carries out each command against an entry", async (t) => {
    const { operatorPort: port } = await startSmallSystem(t);
    const run = (...args: string[]) => runTool(port, ...args);
    const runJson = async (...args: string[]) => {
      const { code, out } = await run(...args, "--json");
      assert.equal(code, 0, args.join(" "));
      return JSON.parse(out);
    };
    const status = await run("status");
    assert.match(status.out, /^entry-a +dc1 +1 /m);
    assert.match(status.out, /^engine-a +dc1 +ready /m);
    const drained = await run("drain", "dc1");
    assert.match(drained.out, /^ticket +state +revision\n +2 +accepted +2\n$/);
    assert.equal((await runJson("restore", "dc1")).number, 3);
    const rollout = await runJson(
      "rollout",
      "small-2",
      "--share",
      "0.5",
      "--number",
      "9",
    );
    assert.deepEqual(rollout, { number: 9, state: "accepted", revision: 4 });
    assert.equal((await runJson("withdraw", "large-1")).number, 10);
    const file = join(folder, "ticket.jsonc");
    await writeFile(
      file,
      '{ "number": 11, // late\n "rollouts": [{ "version": "small-2", "share": 1 }], }',
    );
    assert.equal((await runJson("ticket", "apply", file)).revision, 6);
    const shown = await runJson("ticket", "status", "9");
    assert.equal(shown.state, "superseded");
    assert.equal(shown.holders["entry-a"], 6);
    assert.match((await run("ticket", "status", "11")).out, /^entry-a +6$/m);
    const html = join(folder, "burn.html");
    assert.equal((await run("report", "burn", "--html", html)).code, 0);
    assert.match(await readFile(html, "utf8"), /^<!doctype html>/i);
    assert.equal(
      typeof (await runJson("report", "cost", "--hours", "2")),
      "object",
    );
    assert.equal((await run("report", "cost")).code, 0);

    // 1: refused by the system.
    const late = await run(
      "rollout",
      "small-2",
      "--share",
      "0",
      "--number",
      "5",
    );
    assert.equal(late.code, 1);
    assert.match(late.error, /superseded: .*rollout\/small-2/);
    assert.equal((await run("ticket", "status", "77")).code, 1);
    const denied = await run("status", "--token", "wrong", "--json");
    assert.equal(JSON.parse(denied.out).failure.code, "unauthorized");
    // 2: wrong usage, found out with the state of the entry.
    for (const args of [
      ["drain", "dc9"],
      ["drain", "constructor"],
      ["withdraw", "x"],
      ["rollout", "x", "--share", "1"],
    ]) {
      assert.equal((await run(...args)).code, 2, args.join(" "));
    }
  });

  it("exits 2 on wrong usage, without a call", async () => {
    const unused = await findClosedPort();
    const wrong = [
      [],
      ["frobnicate"],
      ["ticket", "apply"],
      ["ticket", "apply", join(folder, "absent")],
      ["ticket", "status", "x"],
      ["rollout", "a"],
      ["rollout", "a", "--share", "2"],
      ["status", "--verbose"],
      ["status", "--entry", "nowhere"],
      ["status", "--entry", "https://127.0.0.1"],
      ["report", "cost", "--hours", "x"],
      ["report", "cost", "--html", "x"],
      ["drain", "dc1", "--number", "1.5"],
    ];
    const exits = await Promise.all(wrong.map((a) => runTool(unused, ...a)));
    for (const [index, { code, error }] of exits.entries()) {
      assert.equal(code, 2, `${wrong[index]?.join(" ")}: ${error}`);
    }
  });

  it("names file, line and key of wrong settings and tickets", async () => {
    const file = join(folder, "wrong.jsonc");
    await writeFile(file, '{\n "role": "entri" }');
    for (const args of [
      ["settings", "check", file],
      ["ticket", "apply", file],
    ]) {
      const { code, error } = await runTool(1, ...args);
      assert.equal(code, 2);
      assert.ok(
        error.includes(`${file}:2: role: got "entri", expected `),
        error,
      );
    }
    const { out } = await runTool(1, "settings", "check", file, "--json");
    assert.equal(JSON.parse(out).failure.kind, "invalid-document");
  });

  // An entry that can't read them would end at each start.
  it("checks settings that the platform writes", async () => {
    const file = join(folder, "boot.toml");
    const lines = [
      'node_name = "front-1"',
      'ip = "10.1.0.40"',
      "port_range = [7340, 7355]",
      "[listen]",
      'front = "10.1.0.40:8227"',
      'ready = "10.1.0.40:8220"',
      'control = "10.1.0.40:8229"',
    ];
    const store = ["[platform]", 'addr = "10.200.1.7:8223"'];
    await writeFile(file, [...lines, ...store].join("\n"));
    assert.equal((await runTool(1, "settings", "check", file)).code, 0);
    await writeFile(file, lines.join("\n"));
    const { code, error } = await runTool(1, "settings", "check", file);
    assert.equal(code, 2);
    assert.ok(error.includes("platform.addr is missing or invalid"), error);
  });

  it("exits 3 when no entry can be reached, so nothing was changed", async (t) => {
    const unused = await findClosedPort();
    assert.equal((await runTool(unused, "drain", "dc1")).code, 3);
    // A call that only reads leaves no outcome open, wherever it breaks.
    const port = await startServer(t, (request) => request.destroy());
    assert.equal((await runTool(port, "status")).code, 3);
  });

  // Exit code 3 for a ticket that was sent would say that nothing happened.
  it("exits 4 when a ticket was sent and its outcome is not known", async (t) => {
    const body = JSON.stringify({ code: "outcome-unknown", detail: "lost" });
    const spreading = '{"number": 4, "state": "spreading", "revision": 2}';
    const listeners: RequestListener[] = [
      (request) => request.destroy(),
      (_, response) => response.writeHead(504).end(body),
      (_, response) => response.writeHead(502).end("<html>"),
      (_, response) => response.writeHead(200).end("{"),
      (_, response) => response.writeHead(202).end(spreading),
    ];
    for (const [index, listener] of listeners.entries()) {
      const port = await startEntry(t, listener);
      const { code, error } = await runTool(port, "withdraw", "a");
      assert.equal(code, 4, `listener ${index}: ${error}`);
    }
  });
});
