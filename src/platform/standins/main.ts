/** Starts stand-ins for the platform's object store and a few replicas. */

import { readFileSync } from "node:fs";
import { parse } from "jsonc-parser";
import meow from "meow";
import { startServer } from "../../standins/server.js";
import { createReplicaSpec, ReplicaStandin } from "./replica.js";
import { PlatformStoreStandin } from "./store.js";

/** Delay before a replica's answer and between the events of a stream. */
const REPLICA_DELAY_MS = 20;
/** Low for the small model, so that its answers go on to the large one. */
const CONFIDENCE_BY_MODEL = { small: 20, large: 90 };

const { flags } = meow(
  `
  Usage
    $ node dist/platform/standins/main.js --port N --configuration FILE

  Options
    --port N              port of the store (7200)
    --configuration FILE  the operator's configuration, JSON with comments
    --replicas N          replicas, each on a free port (3)
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      port: { type: "number", default: 7_200 },
      configuration: { type: "string", isRequired: true },
      replicas: { type: "number", default: 3 },
    },
  },
);

async function main(): Promise<void> {
  const store = new PlatformStoreStandin();
  const configuration: unknown = parse(
    readFileSync(flags.configuration, "utf8"),
  );
  store.put("config", "main", configuration);
  for (let index = 0; index < flags.replicas; index++) {
    const id = `i-${index}`;
    const replica = new ReplicaStandin({
      id,
      delayMs: REPLICA_DELAY_MS,
      confidence: CONFIDENCE_BY_MODEL,
    });
    store.put("servers", id, createReplicaSpec(await replica.start()));
  }
  const { port } = await startServer(store.handle, flags.port);
  process.stdout.write(`ready: store on port ${port}\n`);
  process.once("SIGTERM", () => process.exit(0));
}

await main();
