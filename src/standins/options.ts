/** Options of a stand-in, set by flags at its start and by `POST /control`. */

import { ReplyError } from "./server.js";

export type OptionValue = number | boolean | string;
export type Options = Record<string, OptionValue>;

/** Sets the given options; refuses an unknown name or a wrong type. */
export function applyOptions(options: Options, patch: object): void {
  const entries = Object.entries(patch);
  for (const [name, value] of entries) {
    if (typeof options[name] !== typeof value || Number.isNaN(value)) {
      throw new ReplyError(400, `Bad option "${name}"`);
    }
  }
  Object.assign(options, patch);
}
