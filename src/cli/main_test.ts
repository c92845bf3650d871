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

const TOOL_PATH = fileURLToPath(new URL("./main.js", import.meta.url));

interface ToolExit {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

function runTool(port: number, ...args: string[]): Promise<ToolExit> {
  const env = {
    ...process.env,
    HORNBEAMRILL_ENTRY: `http://127.0.0.1:${port}`,
    HORNBEAMRILL_TOKEN: OPERATOR_TOKEN,
  };
  return new Promise((resolve) => {
    const options = { env, timeout: 15_000 };
    execFile(
      process.execPath,
      [TOOL_PATH, ...args],
      options,
      (failure, out, error) => {
        const code = failure === null ? 0 : Number(failure.code ?? -1);
        resolve({ code, out, error: error });
      },
    );
  });
}

async function startServer(t: TestContext, onRequest: RequestListener) {
  const server = createServer(onRequest).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

/** Answers each GET with a small fleet state, and tickets by the listener. */
function startFakeEntry(t: TestContext, onTicketRequest: RequestListener) {
  const state = {
    versions: { a: { name: "a" } },
    subjects: { "version/a": 3 },
  };
  return startServer(t, (request, response) => {
    if (request.method === "GET") response.end(JSON.stringify(state));
    else onTicketRequest(request, response);
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

    // Exit code 1: the entry refuses the request.
    const lateRollout = await run(
      "rollout",
      "small-2",
      "--share",
      "0",
      "--number",
      "5",
    );
    assert.equal(lateRollout.code, 1);
    assert.match(lateRollout.error, /superseded: .*rollout\/small-2/);
    assert.equal((await run("ticket", "status", "77")).code, 1);
    const unauthorized = await run("status", "--token", "wrong", "--json");
    assert.equal(JSON.parse(unauthorized.out).failure.code, "unauthorized");
    // Exit code 2: wrong usage that only the entry's fleet state shows.
    for (const args of [
      ["drain", "dc9"],
      ["drain", "constructor"],
      ["withdraw", "x"],
      ["rollout", "x", "--share", "1"],
    ]) {
      assert.equal((await run(...args)).code, 2, args.join(" "));
    }
  });

  it("exits 2 on wrong usage, without calling an entry", async () => {
    const closedPort = await findClosedPort();
    const invalidCommands = [
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
    const exits = await Promise.all(
      invalidCommands.map((a) => runTool(closedPort, ...a)),
    );
    for (const [index, { code, error }] of exits.entries()) {
      assert.equal(code, 2, `${invalidCommands[index]?.join(" ")}: ${error}`);
    }
  });

  it("names file, line and key of a fault in settings and tickets", async () => {
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

  // An entry that can't read its settings stops at each start, so operators
  // must be able to check them first.
  it("checks settings that the platform writes", async () => {
    const file = join(folder, "boot.toml");
    const withoutStore = [
      'node_name = "front-1"',
      'ip = "10.1.0.40"',
      "port_range = [7340, 7355]",
      "[listen]",
      'front = "10.1.0.40:8227"',
      'ready = "10.1.0.40:8220"',
      'control = "10.1.0.40:8229"',
    ];
    const storeSection = ["[platform]", 'addr = "10.200.1.7:8223"'];
    await writeFile(file, [...withoutStore, ...storeSection].join("\n"));
    assert.equal((await runTool(1, "settings", "check", file)).code, 0);
    await writeFile(file, withoutStore.join("\n"));
    const { code, error } = await runTool(1, "settings", "check", file);
    assert.equal(code, 2);
    assert.ok(error.includes("platform.addr is missing or invalid"), error);
  });

  it("exits 3 when no entry can be reached, so nothing was changed", async (t) => {
    const closedPort = await findClosedPort();
    assert.equal((await runTool(closedPort, "drain", "dc1")).code, 3);
    // A GET changes nothing, so a broken connection leaves nothing unknown.
    const port = await startServer(t, (request) => request.destroy());
    assert.equal((await runTool(port, "status")).code, 3);
  });

  // Exit code 3 would claim that nothing was changed, though a ticket was sent.
  it("exits 4 when a ticket was sent and its outcome is not known", async (t) => {
    const outcomeUnknown = JSON.stringify({
      code: "outcome-unknown",
      detail: "lost",
    });
    const spreadingTicket =
      '{"number": 4, "state": "spreading", "revision": 2}';
    const unclearAnswers: RequestListener[] = [
      (request) => request.destroy(),
      (_, response) => response.writeHead(504).end(outcomeUnknown),
      (_, response) => response.writeHead(502).end("<html>"),
      (_, response) => response.writeHead(200).end("{"),
      (_, response) => response.writeHead(202).end(spreadingTicket),
    ];
    for (const [index, onTicketRequest] of unclearAnswers.entries()) {
      const port = await startFakeEntry(t, onTicketRequest);
      const { code, error } = await runTool(port, "withdraw", "a");
      assert.equal(code, 4, `listener ${index}: ${error}`);
    }
  });
});
