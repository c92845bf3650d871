import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { findClosedPort } from "../standins/testing.js";
import { DAEMON_NODE_FLAGS } from "../testbed/fleet.js";

const MAIN = fileURLToPath(new URL("./main.js", import.meta.url));

function runDaemon(...args: string[]) {
  return new Promise<{ code: number; out: string; error: string }>((resolve) =>
    execFile(
      process.execPath,
      [MAIN, ...args],
      { timeout: 10_000 },
      (e, out, error) =>
        resolve({ code: e === null ? 0 : Number(e.code ?? -1), out, error }),
    ),
  );
}

describe("daemon", { timeout: 60_000 }, () => {
  it("starts nothing and exits 2 on wrong settings or usage", async (t) => {
    const folder = await mkdtemp(join(tmpdir(), "daemon-test-"));
    t.after(() => rm(folder, { recursive: true }));
    const file = join(folder, "entry.jsonc");
    await writeFile(file, '{\n "role": "entry",\n "nane": 1\n}');
    const wrong = await runDaemon("--settings", file);
    assert.equal(wrong.code, 2);
    assert.equal(wrong.out, "");
    const [first] = wrong.error
      .split("\n")
      .filter((line) => line.includes("nane"));
    assert.equal(first, `${file}:3: nane: got 1, expected no such key`);
    for (const args of [
      [],
      ["--settings", join(folder, "absent")],
      ["--port", "1"],
    ]) {
      const { code, out } = await runDaemon(...args);
      assert.deepEqual([code, out], [2, ""], args.join(" "));
    }
  });

  it("exits 1 when it can't listen, and logs why", async (t) => {
    const folder = await mkdtemp(join(tmpdir(), "daemon-test-"));
    t.after(() => rm(folder, { recursive: true }));
    const file = join(folder, "endpoint.jsonc");
    const port = await findClosedPort();
    const target = { address: "127.0.0.1", port };
    const settings = {
      role: "endpoint",
      name: "p",
      host: "h",
      dataCentre: "dc1",
      // A documentation address, which no interface of this host has.
      listen: { address: "192.0.2.1", controlPort: port },
      hostList: target,
      service: { ...target, names: ["order"], slots: 1 },
    };
    await writeFile(file, JSON.stringify(settings));
    const { code, out } = await runDaemon("--settings", file);
    assert.equal(code, 1);
    assert.match(
      out,
      /level=error event=failed role=endpoint process=p .*error=/,
    );
    assert.doesNotMatch(out, /^ready$/m);
  });

  // Without the flag an entry used 117 MB after the demo; the limit is 128 MB.
  it("starts Node with the same flags as the test bed", async () => {
    const [first] = (await readFile(MAIN, "utf8")).split("\n");
    assert.equal(
      first,
      `#!/usr/bin/env -S node ${DAEMON_NODE_FLAGS.join(" ")}`,
    );
  });
});
