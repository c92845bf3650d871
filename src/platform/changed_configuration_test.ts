import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  API_KEY,
  createConfiguration,
  TestSystem,
} from "./entry_fixtures_test.js";
import { createRequestText, RawCaller } from "./raw_caller_fixtures_test.js";

type Configuration = ReturnType<typeof createConfiguration>;

const RUN_MS = 600;

interface Change {
  readonly apply: (configuration: Configuration) => object;
  /** Status of a request that is admitted after the change. */
  readonly nextStatus: number;
}

const replaceOnceRoute = (configuration: Configuration, fields: object) => ({
  routes: configuration.routes.map((route) =>
    route.name === "once" ? { ...route, ...fields } : route,
  ),
});

const listServicesWithOther = ({ services }: Configuration) => [
  ...services,
  ...services.map((service) => ({ ...service, name: "other" })),
];

const CHANGES: Record<string, Change> = {
  "a route that moves": {
    apply: (configuration) => ({
      ...replaceOnceRoute(configuration, { service: "other" }),
      services: listServicesWithOther(configuration),
    }),
    nextStatus: 200,
  },
  "a route that is removed": {
    apply: ({ routes }) => ({
      routes: routes.filter(({ name }) => name !== "once"),
    }),
    nextStatus: 404,
  },
  "a route that is split by weights": {
    apply: (configuration) => ({
      ...replaceOnceRoute(configuration, {
        service: undefined,
        traffic_split: [
          { service: "svc", weight: 1 },
          { service: "other", weight: 1 },
        ],
      }),
      services: listServicesWithOther(configuration),
    }),
    nextStatus: 200,
  },
  "a longer prefix beside a route": {
    apply: ({ routes }) => ({
      routes: [
        ...routes,
        ...routes
          .filter(({ name }) => name === "once")
          .map((route) => ({ ...route, name: "half", prefix: "/once/a/" })),
      ],
    }),
    nextStatus: 200,
  },
  "a shorter time limit of the route": {
    apply: (configuration) =>
      replaceOnceRoute(configuration, { timeout_ms: 200 }),
    nextStatus: 504,
  },
  "a key that is added": {
    apply: () => ({
      tenants: [{ name: "farm", api_keys: [API_KEY, "key-2"] }],
    }),
    nextStatus: 200,
  },
  "a key that is removed": {
    apply: () => ({ tenants: [{ name: "farm", api_keys: ["key-2"] }] }),
    nextStatus: 401,
  },
  "an account that is replaced": {
    apply: () => ({ tenants: [{ name: "mill", api_keys: [API_KEY] }] }),
    nextStatus: 200,
  },
  "shorter limits of callers": {
    apply: () => ({
      limits: {
        max_body_bytes: 4,
        idle_timeout_ms: 100,
        header_timeout_ms: 100,
      },
    }),
    nextStatus: 413,
  },
  "fewer connections to a service": {
    apply: ({ services }) => ({
      services: services.map((service) => ({ ...service, max_conns: 10 })),
    }),
    nextStatus: 200,
  },
};

// The planned change of a configuration is no reason to lose a request.
describe("requests beside a new configuration", () => {
  let system: TestSystem;
  const closers: (() => void)[] = [];
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(async () => {
    for (const close of closers.splice(0)) close();
    await system.close();
  });

  const connectCaller = (text: string) => {
    const caller = new RawCaller(system.callerPort);
    closers.push(() => caller.close());
    caller.write(text);
    return caller;
  };
  const path = "/once/a";

  for (const [name, { apply, nextStatus }] of Object.entries(CHANGES)) {
    it(`are all answered beside ${name}`, async () => {
      await system.start([{ id: "i-1", delayMs: RUN_MS }]);
      await system.startReplica(
        { id: "i-2", delayMs: RUN_MS },
        { service: "other" },
      );
      await system.waitFor(
        () =>
          system.logs.filter(({ event }) => event === "endpoint-added")
            .length === 2,
      );
      const running = connectCaller(createRequestText("running", { path }));
      const half = createRequestText("half-sent", { path });
      const halfSent = connectCaller(half.slice(0, -3));
      const head = createRequestText("in-head", { path });
      const inHead = connectCaller(head.slice(0, 30));
      await system.waitFor(() => system.listRuns("running").length === 1);
      const configuration = createConfiguration(2);
      system.store.put("config", "main", {
        ...configuration,
        ...apply(configuration),
      });
      await system.waitFor(() =>
        system.logs.some(
          ({ event, version }) =>
            event === "configuration-in-force" && version === 2,
        ),
      );
      const arriving = connectCaller(createRequestText("arriving", { path }));
      halfSent.write(half.slice(-3));
      inHead.write(head.slice(30));
      const callers = [running, halfSent, inHead, arriving];
      await system.waitFor(() =>
        callers.every(
          ({ answers, isClosed }) => answers.length > 0 || isClosed,
        ),
      );
      // The limit of a body holds as its head was read.
      const halfSentStatus = nextStatus === 413 ? 200 : nextStatus;
      assert.deepEqual(
        callers.map(({ answers }) => answers.map(({ status }) => status)),
        [[200], [halfSentStatus], [nextStatus], [nextStatus]],
      );
      assert.deepEqual(
        system.logs.filter(({ event }) => event === "request-unanswered"),
        [],
      );
    });
  }
});
