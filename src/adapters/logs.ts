/** Structured logs: one key=value line for each event. */

import { Writable } from "node:stream";
import bunyan from "bunyan";
import type { Log } from "../schema/index.js";

export type LogFields = Record<string, unknown>;

/** What the roles need of a logger. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** bunyan's own fields that a key=value line does without. */
const OMITTED_FIELDS = new Set(["v", "hostname", "pid", "name", "msg", "src"]);

function formatValue(value: unknown): string {
  if (value instanceof Date) return value.toISOString();
  const text = typeof value === "string" ? value : JSON.stringify(value);
  if (text === undefined) return "-";
  return /^[\w.:/+-]+$/.test(text) ? text : JSON.stringify(text);
}

/** Formats a bunyan record; exported for its test. */
export function formatLogLine(record: Record<string, unknown>): string {
  const { time, level, msg, ...rest } = record;
  const fields = Object.entries(rest)
    .filter(([key, value]) => !OMITTED_FIELDS.has(key) && value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`);
  const levelName = bunyan.nameFromLevel[level as number] ?? String(level);
  return [
    `time=${formatValue(time)}`,
    `level=${levelName}`,
    `event=${formatValue(msg)}`,
    ...fields,
  ].join(" ");
}

class KeyValueStream extends Writable {
  readonly #output: NodeJS.WritableStream;

  constructor(output: NodeJS.WritableStream) {
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
  output?: NodeJS.WritableStream;
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
    debug: (event, fields = {}) => logger.debug(fields, event),
    info: (event, fields = {}) => logger.info(fields, event),
    warn: (event, fields = {}) => logger.warn(fields, event),
    error: (event, fields = {}) => logger.error(fields, event),
  };
}
