/** Look-up of routes, services and client accounts in one configuration. */

import type { ClientAccount, Configuration, Route, Service } from "../types.js";

export class Catalog {
  readonly configuration: Configuration;
  /** Routes by host, longest prefix first. */
  readonly #routes = new Map<string, Route[]>();
  readonly #services = new Map<string, Service>();
  readonly #accounts = new Map<string, ClientAccount>();

  constructor(configuration: Configuration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#routes.get(host) ?? [];
      routes.push(route);
      this.#routes.set(host, routes);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
    for (const account of configuration.accounts) {
      for (const key of account.apiKeys) this.#accounts.set(key, account);
    }
  }

  /** `path` may have a query. */
  findRoute(host: string, path: string): Route | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, "");
    const [bare = ""] = path.split("?", 1);
    return this.#routes
      .get(name)
      ?.find((route) => bare.startsWith(route.prefix));
  }

  findService(name: string): Service | undefined {
    return this.#services.get(name);
  }

  findAccount(apiKey: string): ClientAccount | undefined {
    return this.#accounts.get(apiKey);
  }

  get hasAccounts(): boolean {
    return this.configuration.accounts.length > 0;
  }
}

/** Chooses a service by the weights of the route; `random` is in 0..1. */
export function chooseService(route: Route, random: () => number): string {
  const [first] = route.services;
  if (first === undefined) return "";
  if (route.services.length === 1) return first.service;
  const total = route.services.reduce((sum, item) => sum + item.weight, 0);
  let rest = random() * total;
  for (const { service, weight } of route.services) {
    rest -= weight;
    if (rest < 0) return service;
  }
  return first.service;
}
