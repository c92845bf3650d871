/** Interface and HTTP client of the platform's host list. */

import { ok, type Result, type ResultAsync } from "neverthrow";
import {
  type CallFailure,
  checkStatus,
  toCallFailure,
  toMalformedFailure,
} from "./call_failure.js";
import { HttpClient, type HttpReply, type HttpTarget } from "./http_client.js";
import { createJsonParser } from "./json_parser.js";

/** A process of the system on a live or leaving host. */
export interface HostEntry {
  /** Name of the entry or endpoint. */
  readonly name: string;
  readonly role: "entry" | "endpoint";
  readonly host: string;
  readonly dataCentre: string;
  /** IP address. */
  readonly address: string;
  readonly controlPort: number;
  readonly leaving: boolean;
}

export interface HostList {
  /** Reads the list, which lags behind the platform by seconds. */
  readHosts(signal: AbortSignal): ResultAsync<HostEntry[], CallFailure>;
}

interface CachedHostList {
  readonly etag: string;
  readonly hosts: HostEntry[];
}

const NOT_MODIFIED = 304;

const parseHosts = createJsonParser<{ hosts: HostEntry[] }>({
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
 * Sends If-None-Match: with 1,310 hosts the list has about 220 KB, and a full
 * read each second would be a hundred times a node's control traffic budget.
 */
export function createHttpHostList(target: HttpTarget): HostList {
  const client = new HttpClient(target);
  let cached: CachedHostList | undefined;

  function parseHostsReply(reply: HttpReply): Result<HostEntry[], CallFailure> {
    if (reply.status === NOT_MODIFIED && cached !== undefined) {
      return ok(cached.hosts);
    }
    return checkStatus(reply)
      .andThen(({ body }) => parseHosts(body).mapErr(toMalformedFailure))
      .map(({ hosts }) => {
        const { etag } = reply.headers;
        cached = etag === undefined ? undefined : { etag, hosts };
        return hosts;
      });
  }

  return {
    readHosts: (signal) => {
      const headers = cached && { "if-none-match": cached.etag };
      return client
        .send({ method: "GET", path: "/hosts", headers }, signal)
        .mapErr(toCallFailure)
        .andThen(parseHostsReply);
    },
  };
}
