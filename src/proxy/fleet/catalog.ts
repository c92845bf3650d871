/** Indexes the routes, services and client accounts of one configuration. */

import type { ClientAccount, Configuration, Route, Service } from "../types.js";

export class Catalog {
  readonly configuration: Configuration;
  /** By host in lower case, longest prefix first. */
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #servicesByName = new Map<string, Service>();
  readonly #accountsByApiKey = new Map<string, ClientAccount>();

  constructor(configuration: Configuration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#routesByHost.get(host) ?? [];
      routes.push(route);
      this.#routesByHost.set(host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const service of configuration.services) {
      this.#servicesByName.set(service.name, service);
    }
    for (const account of configuration.accounts ?? []) {
      // Requests without a key are looked up by an empty one.
      for (const key of account.apiKeys)
        if (key !== "") this.#accountsByApiKey.set(key, account);
    }
  }

  /** `host` may include a port, `path` a query. */
  findRoute(host: string, path: string): Route | undefined {
    const hostname = host.toLowerCase().replace(/:\d+$/, "");
    const [pathWithoutQuery = ""] = path.split("?", 1);
    return this.#routesByHost
      .get(hostname)
      ?.find((route) => pathWithoutQuery.startsWith(route.prefix));
  }

  findService(name: string): Service | undefined {
    return this.#servicesByName.get(name);
  }

  findAccount(apiKey: string): ClientAccount | undefined {
    return this.#accountsByApiKey.get(apiKey);
  }

  /** False where no request needs a key. */
  get hasAccounts(): boolean {
    return this.configuration.accounts !== undefined;
  }
}

/** Chooses a service by the weights of the route; `random` returns [0, 1). */
export function chooseService(route: Route, random: () => number): string {
  const [first] = route.services;
  if (first === undefined) return "";
  if (route.services.length === 1) return first.service;
  const totalWeight = route.services.reduce(
    (sum, share) => sum + share.weight,
    0,
  );
  let remainingWeight = random() * totalWeight;
  for (const { service, weight } of route.services) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return first.service;
}
