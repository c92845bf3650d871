/** Options of a stand-in: set by flags at the start and by `POST /control`. */

import { ReplyError } from "./server.js";

export type OptionValue = number | boolean | string;
export type Options = Record<string, OptionValue>;

/** Sets the named options; a name or type that does not exist is refused. */
export function applyOptions(options: Options, patch: object): void {
  const entries = Object.entries(patch);
  for (const [name, value] of entries) {
    if (typeof options[name] !== typeof value || Number.isNaN(value)) {
      throw new ReplyError(400, `Bad option "${name}"`);
    }
  }
  Object.assign(options, patch);
}
