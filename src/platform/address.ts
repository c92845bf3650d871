import type { NetworkAddress } from "../proxy/index.js";

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;
const MAX_PORT = 65_535;

/** Splits IP:PORT; undefined when it is neither. */
export function parseAddress(text: string): NetworkAddress | undefined {
  const found = ADDRESS.exec(text);
  const [, address, digits] = found ?? [];
  const port = Number(digits);
  if (address === undefined || port < 1 || port > MAX_PORT) return undefined;
  return { address, port };
}
