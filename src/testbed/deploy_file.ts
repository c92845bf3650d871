/** Reads how the deployment starts the entry. */

import { readFileSync } from "node:fs";
import { parse } from "smol-toml";

const DEPLOY_FILE = new URL("../../deploy/system.toml", import.meta.url);

interface DeployFile {
  readonly roles: { readonly entry: { readonly run: string } };
}

/** Node's flags in the command of the entry. */
export function readNodeFlags(): string[] {
  const file = parse(
    readFileSync(DEPLOY_FILE, "utf8"),
  ) as unknown as DeployFile;
  return file.roles.entry.run.split(" ").filter((word) => word.startsWith("-"));
}
