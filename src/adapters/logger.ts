/** Structured logger: one key=value line for each event. */

import { Writable } from "node:stream";
import { inspect } from "node:util";
import bunyan from "bunyan";
import type { Log } from "../schema/index.js";

export type LogFields = Record<string, unknown>;

/** The logger methods that the roles use. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Fields of a bunyan record that are left out of the line. */
const OMITTED_FIELDS = new Set(["v", "hostname", "pid", "name", "msg", "src"]);
/** Line breaks that JSON.stringify does not escape. */
const UNESCAPED_LINE_BREAKS = /[\u0085\u2028\u2029]/g;

function serializeValue(value: unknown): string {
  if (typeof value === "string") return value;
  if (value instanceof Date) return value.toISOString();
  if (value instanceof Error) return String(value);
  if (typeof value !== "object" || value === null) return String(value);
  try {
    return JSON.stringify(value);
  } catch {
    // JSON.stringify fails on circular values and BigInt, and toString may fail
    // too: a log line must never end the process.
    return inspect(value, { compact: true, breakLength: Infinity });
  }
}

function formatValue(value: unknown): string {
  const text = serializeValue(value);
  if (/^[\w.:/+-]+$/.test(text)) return text;
  return JSON.stringify(text).replace(
    UNESCAPED_LINE_BREAKS,
    (c) => `\\u${c.charCodeAt(0).toString(16).padStart(4, "0")}`,
  );
}

function formatFields(fields: object): string[] {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => {
      const name = key.replace(/[^\w.-]/g, "_") || "_";
      return `${name}=${formatValue(value)}`;
    });
}

/**
 * Formats a bunyan record; exported for its test. The event's own fields are
 * under `fields`, so that none of them can replace one of bunyan's.
 */
export function formatLogLine(record: Record<string, unknown>): string {
  const { time, level, msg, fields, ...rest } = record;
  const common = Object.entries(rest).filter(
    ([key]) => !OMITTED_FIELDS.has(key),
  );
  const levelName = bunyan.nameFromLevel[level as number] ?? String(level);
  return [
    `time=${formatValue(time)}`,
    `level=${levelName}`,
    `event=${formatValue(msg)}`,
    ...formatFields(Object.fromEntries(common)),
    ...formatFields(fields ?? {}),
  ].join(" ");
}

/** Receives whole lines. Must not block where its process may not block. */
export interface LogOutput {
  write(text: string): unknown;
}

class KeyValueStream extends Writable {
  readonly #output: LogOutput;

  constructor(output: LogOutput) {
    super({ objectMode: true });
    this.#output = output;
  }

  override _write(
    record: Record<string, unknown>,
    _encoding: string,
    done: () => void,
  ): void {
    this.#output.write(`${formatLogLine(record)}\n`);
    done();
  }
}

export interface LoggerOptions {
  fields?: LogFields;
  output?: LogOutput;
}

/** Creates a logger that writes key=value lines to standard output. */
export function createLogger(
  settings: Log = {},
  options: LoggerOptions = {},
): Logger {
  const logger = bunyan.createLogger({
    name: "hornbeamrill",
    level: settings.level ?? "info",
    streams: [
      {
        type: "raw",
        stream: new KeyValueStream(options.output ?? process.stdout),
      },
    ],
    ...options.fields,
  });
  return {
    debug: (event, fields = {}) => logger.debug({ fields }, "%s", event),
    info: (event, fields = {}) => logger.info({ fields }, "%s", event),
    warn: (event, fields = {}) => logger.warn({ fields }, "%s", event),
    error: (event, fields = {}) => logger.error({ fields }, "%s", event),
  };
}
