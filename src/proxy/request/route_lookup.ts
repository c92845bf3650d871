/** Looks up the route and the account of a request in the configuration. */

import { createRefusal, type Refusal } from "../../core/errors.js";
import type { Catalog } from "../fleet/index.js";
import type { RequestFacts, Route } from "../types.js";

/** Retry delay in a refusal for a missing or outdated configuration, ms. */
const STALE_RETRY_AFTER_MS = 500;

export interface AdmittedRequest {
  readonly route: Route;
  readonly catalog: Catalog;
  readonly account?: string;
  readonly rank: number;
}

/** What a configuration lacks for a request. */
export type LookupFailure = "no-route" | "no-account";

/** Looks up route and account in one version of the configuration. */
export function findRouteAndAccount(
  catalog: Catalog,
  facts: RequestFacts,
): AdmittedRequest | LookupFailure {
  const route = catalog.findRoute(facts.host, facts.path);
  if (route === undefined) return "no-route";
  if (!route.needsApiKey || !catalog.hasAccounts) {
    return { route, catalog, rank: route.rank };
  }
  const account = catalog.findAccount(facts.apiKey ?? "");
  if (account === undefined) return "no-account";
  const rank = account.rank ?? route.rank;
  return { route, catalog, account: account.name, rank };
}

export function createDenial(
  failure: LookupFailure,
  facts: RequestFacts,
): Refusal {
  return failure === "no-route"
    ? createRefusal("not-found", `No route for "${facts.path}"`)
    : createRefusal("unauthorized", "The API key is unknown");
}

export function createStaleRefusal(detail: string): Refusal {
  const retryAfterMs = STALE_RETRY_AFTER_MS;
  return createRefusal("stale-revision", detail, { retryAfterMs });
}
