import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { after, describe, it } from "node:test";
import { delay } from "../../testbed/delay.js";
import {
  REPEAT_TIME,
  REPEATED_ANSWER,
  type RepeatOptions,
} from "./repeated_answers.js";
import { type ReplicaOptions, ReplicaStandin } from "./replica.js";

/** Far above the time for an answer to be read, also on a busy machine. */
const ANSWER_DELAY_MS = 300;
/** Time in which a second copy would come, ms. */
const FURTHER_COPY_MS = 30;

class RawCaller {
  readonly chunks: string[] = [];
  readonly #socket: Socket;

  constructor(port: number) {
    this.#socket = connect(port, "127.0.0.1");
    this.#socket.on("data", (chunk) => this.chunks.push(chunk.toString()));
    after(() => this.#socket.destroy());
  }

  send(id: string, expectedReplica = "i-0"): void {
    this.chunks.length = 0;
    this.#socket.write(
      `POST /once/a HTTP/1.1\r\nHost: a\r\nAttempt-Id: ${id}\r\nExpect-Instance: ${expectedReplica}\r\nContent-Length: 0\r\n\r\n`,
    );
  }

  /** Statuses and named requests of the answers, once so many have come. */
  async receive(count: number): Promise<string[]> {
    for (;;) {
      const heads = this.chunks.join("").split("HTTP/1.1 ").slice(1);
      if (heads.length >= count) {
        return heads.map((head) => {
          const id = /Attempt-Id: (\w+)/.exec(head)?.[1];
          return `${head.slice(0, 3)} ${id}`;
        });
      }
      await once(this.#socket, "data");
    }
  }
}

async function startReplica(options: Partial<ReplicaOptions>) {
  const replica = new ReplicaStandin({ id: "i-0", ...options });
  after(() => replica.close());
  const port = await replica.start();
  return { replica, port, caller: new RawCaller(port) };
}

/** Has the first request refused, or answered, on a kept connection. */
async function startRepeating(repeats: RepeatOptions) {
  const { replica, caller } = await startReplica({ repeats });
  const { options } = replica;
  options.isFull = repeats.answer === REPEATED_ANSWER.refusal;
  caller.send("first");
  const [first] = await caller.receive(1);
  options.isFull = false;
  options.delayMs = ANSWER_DELAY_MS;
  const status = repeats.answer === REPEATED_ANSWER.refusal ? 503 : 200;
  assert.equal(first, `${status} first`);
  return { replica, caller, first };
}

describe("refusals of the stand-in replica", () => {
  // Without the id a refusal can't be told from one of another request.
  it("name the request", async () => {
    const { replica, caller } = await startReplica({ isFull: true });
    caller.send("full");
    assert.deepEqual(await caller.receive(1), ["503 full"]);
    caller.send("other", "i-9");
    assert.deepEqual(await caller.receive(1), ["421 other"]);
    assert.equal(replica.runs.length, 0);
  });

  // Without refusals under load the soak has no answer to repeat.
  it("come while all of its slots are taken", async () => {
    const options = { slots: 1, delayMs: ANSWER_DELAY_MS };
    const { replica, port, caller } = await startReplica(options);
    caller.send("running");
    while (replica.runs.length === 0) await delay(1);
    const other = new RawCaller(port);
    other.send("refused");
    assert.deepEqual(await other.receive(1), ["503 refused"]);
    assert.deepEqual(await caller.receive(1), ["200 running"]);
    other.send("later");
    assert.deepEqual(await other.receive(1), ["200 later"]);
  });
});

describe("repeated answers of the stand-in replica", () => {
  for (const answer of Object.values(REPEATED_ANSWER)) {
    // A copy that never comes, or comes twice, proves nothing in the soak.
    it(`come once on the idle connection (${answer})`, async () => {
      const time = REPEAT_TIME.idle;
      const started = await startRepeating({ time, answer });
      const { replica, caller, first } = started;
      await caller.receive(2);
      await delay(FURTHER_COPY_MS);
      assert.deepEqual(await caller.receive(2), [first, first]);
      assert.equal(replica.copyCount, 1);
      replica.options.repeats = undefined;
      caller.send("second");
      assert.deepEqual(await caller.receive(1), ["200 second"]);
    });

    // The next request has to run, or its caller is told the truth by chance.
    it(`come before the next request runs (${answer})`, async () => {
      const time = REPEAT_TIME.beforeRun;
      const started = await startRepeating({ time, answer });
      const { replica, caller, first } = started;
      caller.send("second");
      assert.deepEqual(await caller.receive(1), [first]);
      assert.equal(replica.runs.at(-1)?.requestId, "second");
      assert.deepEqual(await caller.receive(2), [first, "200 second"]);
      assert.equal(replica.copyCount, 1);
    });

    // Bytes of two writes may be read apart, which is another case.
    it(`come in one write with the next answer (${answer})`, async () => {
      const time = REPEAT_TIME.withAnswer;
      const started = await startRepeating({ time, answer });
      const { replica, caller, first } = started;
      caller.send("second");
      assert.deepEqual(await caller.receive(1), [first, "200 second"]);
      assert.equal(caller.chunks.length, 1);
      assert.equal(replica.copyCount, 1);
    });
  }
});
