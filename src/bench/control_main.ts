/** Command line of the control load bench; prints one JSON line. */

import meow from "meow";
import { measureControlLoad } from "./control_load.js";

const cli = meow(
  `
  Usage
    $ npm run bench:control -- --endpoints 12 --askers 4 --entries 4

  Options
    --endpoints N  endpoints in the host list (12)
    --askers N     processes that poll the entry for the fleet state (4)
    --entries N    entries attached to the endpoint process (4)
    --seconds S    measured time (20)
    --base-port P  first port (26000)
`,
  {
    importMeta: import.meta,
    flags: {
      endpoints: { type: "number", default: 12 },
      askers: { type: "number", default: 4 },
      entries: { type: "number", default: 4 },
      seconds: { type: "number", default: 20 },
      basePort: { type: "number", default: 26_000 },
    },
  },
);

const sample = await measureControlLoad(cli.flags);
process.stdout.write(`${JSON.stringify(sample)}\n`);
process.exit(0);
