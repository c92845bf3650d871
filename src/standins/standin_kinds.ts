/** The kinds of stand-ins by their names on the command line. */

import { ENGINE_OPTIONS, EngineStandin } from "./engine.js";
import { HOST_LIST_OPTIONS, HostListStandin } from "./host_list.js";
import { OBJECT_STORE_OPTIONS, ObjectStoreStandin } from "./object_store.js";
import type { Options } from "./options.js";
import { createRandom } from "./random.js";
import {
  RATING_SERVICE_OPTIONS,
  RatingServiceStandin,
} from "./rating_service.js";
import { type Handler, type RunningServer, startServer } from "./server.js";
import { SERVICE_OPTIONS, ServiceStandin } from "./service.js";

export interface StandinSettings {
  readonly port: number;
  readonly seed: number;
  readonly options: object;
}

interface Kind {
  readonly defaults: Options;
  create(settings: StandinSettings): { readonly handle: Handler };
}

export const STANDIN_KINDS = {
  "object-store": {
    defaults: OBJECT_STORE_OPTIONS,
    create: ({ seed, options }) =>
      new ObjectStoreStandin(createRandom(seed), options),
  },
  engine: {
    defaults: ENGINE_OPTIONS,
    create: ({ options }) => new EngineStandin(options),
  },
  service: {
    defaults: SERVICE_OPTIONS,
    create: ({ seed, options }) =>
      new ServiceStandin(createRandom(seed), options),
  },
  "rating-service": {
    defaults: RATING_SERVICE_OPTIONS,
    create: ({ seed, options }) =>
      new RatingServiceStandin(createRandom(seed), options),
  },
  "host-list": {
    defaults: HOST_LIST_OPTIONS,
    create: ({ options }) => new HostListStandin(options),
  },
} satisfies Record<string, Kind>;

export type StandinKind = keyof typeof STANDIN_KINDS;

export function isStandinKind(name: string | undefined): name is StandinKind {
  return name !== undefined && Object.hasOwn(STANDIN_KINDS, name);
}

/** Starts a stand-in in this process. */
export function startStandin(
  kind: StandinKind,
  settings: StandinSettings,
): Promise<RunningServer> {
  const standin = STANDIN_KINDS[kind].create(settings);
  return startServer(standin.handle, settings.port);
}
