import type { EndpointRecord } from "./types.js";

/** A warm endpoint of the service "svc" that takes new requests. */
export function createEndpointRecord(
  id: string,
  fields: Partial<EndpointRecord> = {},
): EndpointRecord {
  return {
    id,
    service: "svc",
    address: "10.0.0.1",
    port: 80,
    dataCentre: "dc1",
    version: "v1",
    slots: 8,
    isLeaving: false,
    coldLeftMs: 0,
    ...fields,
  };
}
