/** The platform's list of hosts, as the program sees it; HTTP adapter. */

import { ok, type Result, type ResultAsync } from "neverthrow";
import {
  type CallFailure,
  checkStatus,
  toCallFailure,
  toMalformed,
} from "./call_failure.js";
import { HttpClient, type HttpReply, type HttpTarget } from "./http_client.js";
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

interface KnownList {
  readonly etag: string;
  readonly hosts: HostEntry[];
}

const NOT_MODIFIED = 304;

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

/**
 * Reads the list with If-None-Match: at 1,310 hosts it has about 220 KB, and a
 * full read each second would be a hundred times a node's control budget.
 */
export function createHttpHostList(target: HttpTarget): HostList {
  const client = new HttpClient(target);
  let known: KnownList | undefined;

  function readReply(reply: HttpReply): Result<HostEntry[], CallFailure> {
    if (reply.status === NOT_MODIFIED && known !== undefined) {
      return ok(known.hosts);
    }
    return checkStatus(reply)
      .andThen(({ body }) => parseHosts(body).mapErr(toMalformed))
      .map(({ hosts }) => {
        const { etag } = reply.headers;
        known = etag === undefined ? undefined : { etag, hosts };
        return hosts;
      });
  }

  return {
    readHosts: (signal) => {
      const headers = known && { "if-none-match": known.etag };
      return client
        .send({ method: "GET", path: "/hosts", headers }, signal)
        .mapErr(toCallFailure)
        .andThen(readReply);
    },
  };
}
