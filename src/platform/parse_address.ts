import { isIPv4 } from "node:net";
import type { NetworkAddress } from "../proxy/index.js";

const ADDRESS_PATTERN = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;
const MAX_PORT = 65_535;

/** Parses `IP:PORT`; undefined for text of any other form. */
export function parseAddress(text: string): NetworkAddress | undefined {
  const match = ADDRESS_PATTERN.exec(text);
  const [, address, digits] = match ?? [];
  const port = Number(digits);
  if (address === undefined || !isIPv4(address)) return undefined;
  if (port < 1 || port > MAX_PORT) return undefined;
  return { address, port };
}
