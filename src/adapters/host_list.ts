/** The platform's list of hosts, as the program sees it; HTTP adapter. */

import type { ResultAsync } from "neverthrow";
import {
  type CallFailure,
  checkStatus,
  toCallFailure,
  toMalformed,
} from "./call_failure.js";
import { HttpClient, type HttpTarget } from "./http_client.js";
import { createParser } from "./replies.js";

/** A process of the system on a live or leaving host. */
export interface HostEntry {
  /** Name of the entry or endpoint. */
  readonly name: string;
  readonly role: "entry" | "endpoint";
  readonly host: string;
  readonly dataCentre: string;
  /** IP number. */
  readonly address: string;
  readonly controlPort: number;
  readonly leaving: boolean;
}

export interface HostList {
  /** The list lags behind the platform by seconds. */
  readHosts(signal: AbortSignal): ResultAsync<HostEntry[], CallFailure>;
}

const parseHosts = createParser<{ hosts: HostEntry[] }>({
  type: "object",
  required: ["hosts"],
  properties: {
    hosts: {
      type: "array",
      items: {
        type: "object",
        required: [
          "name",
          "role",
          "host",
          "dataCentre",
          "address",
          "controlPort",
          "leaving",
        ],
        properties: {
          name: { type: "string", minLength: 1 },
          role: { enum: ["entry", "endpoint"] },
          host: { type: "string" },
          dataCentre: { type: "string" },
          address: { type: "string", minLength: 2 },
          controlPort: { type: "integer", minimum: 1, maximum: 65_535 },
          leaving: { type: "boolean" },
        },
      },
    },
  },
});

export function createHttpHostList(target: HttpTarget): HostList {
  const client = new HttpClient(target);
  return {
    readHosts: (signal) =>
      client
        .send({ method: "GET", path: "/hosts" }, signal)
        .mapErr(toCallFailure)
        .andThen(checkStatus)
        .andThen((reply) => parseHosts(reply.body).mapErr(toMalformed))
        .map(({ hosts }) => hosts),
  };
}
