/**
 * Decodes messages of other entries and checks what they say, once for all who
 * use it. Another entry may be faulty or of another build: a number that Node or
 * the encoding of the next message refuses would end the process.
 */

import { isIP } from "node:net";
import { err, ok, type Result } from "neverthrow";
import {
  countValues,
  MAX_MESSAGE_FIELDS,
  MAX_STORE_VALUES,
  RECEIVED_REFUSAL,
  receivedMemory,
  SENDER,
} from "../../adapters/received/index.js";
import {
  type EndpointCrash,
  Exchange,
  type LimitReport,
  type LoadReport,
  News,
  NewsQuestion,
  type Place,
  type PromptHold,
  type PromptParts,
  type RolloutReport,
  type RolloutTally,
  type SessionReport,
} from "../../schema/exchange/index.js";
import { MAX_PART_ID_LENGTH, MAX_PROMPT_PARTS } from "../placing/index.js";
import { countFields, type NestedFields } from "./count_fields.js";

const NO_FIELDS: NestedFields = {};
/** Messages in messages, which are counted before all are decoded. */
const NESTED_FIELDS = {
  exchange: {
    1: NO_FIELDS,
    3: NO_FIELDS,
    4: { 5: NO_FIELDS, 6: NO_FIELDS },
    5: NO_FIELDS,
    6: NO_FIELDS,
    7: { 3: NO_FIELDS },
    8: NO_FIELDS,
    10: NO_FIELDS,
    11: { 3: NO_FIELDS },
  },
  question: { 1: NO_FIELDS },
  news: { 1: NO_FIELDS },
} as const;

const MAX_PORT = 65_535;
/** Names of entries, endpoints, services and versions, characters. */
const MAX_NAME_LENGTH = 512;
/** Sessions are texts of callers, characters. */
const MAX_SESSION_LENGTH = 16_384;
/** Largest rate that an endpoint may set, requests per second. */
const MAX_RATE = 1e9;
/** Largest load on an endpoint, in requests or prompt tokens. */
const MAX_LOAD = 1e9;
/** Largest logarithm of measured by expected time of one answer. */
const MAX_LOG_SLOWNESS = 100;
/** Revisions and versions may be more than what a number holds exactly. */
const MAX_REVISION = 2 ** 64;
/** The parts of a prompt, and its request. */
const MAX_SUSPECT_IDS = MAX_PROMPT_PARTS + 1;

/** Largest number of items in one message; entries send a part of these. */
const MAX_ITEMS = {
  peers: 200,
  rollouts: 500,
  tallies: 256,
  failing: 256,
  sessions: 2_000,
  limits: 10_000,
  crashes: 64,
  prompts: 32,
  holds: 128,
  loads: 2_000,
  dataCentreLoads: 16,
  positions: 16,
  views: 16,
  changes: 10_000,
} as const;
type ItemKind = keyof typeof MAX_ITEMS;

export interface DecodedExchange {
  /** Without what is odd. */
  readonly message: Exchange;
  /** Kinds of items of which some, or surplus ones, were left out. */
  readonly oddKinds: readonly string[];
}

/** Keeps the items that are sound, up to the largest number. */
class ItemFilter {
  readonly oddKinds = new Set<string>();

  filter<Item>(
    kind: ItemKind,
    items: readonly Item[],
    isSound: (item: Item) => boolean,
  ): Item[] {
    const sound = items.slice(0, MAX_ITEMS[kind]).filter(isSound);
    if (sound.length < items.length) this.oddKinds.add(kind);
    return sound;
  }
}

export function decodeExchange(
  data: Uint8Array,
): Result<DecodedExchange, string> {
  const decoded = decodeMessage(data, NESTED_FIELDS.exchange, Exchange.decode);
  if (decoded.isErr()) return err(decoded.error);
  const { value } = decoded;
  const { sender, configVersion } = value;
  const items = new ItemFilter();
  const { oddKinds } = items;
  const isSoundSender = sender === undefined || isPlace(sender);
  if (!isSoundSender) oddKinds.add("sender");
  const isSoundVersion = isRevision(configVersion);
  if (!isSoundVersion) oddKinds.add("configVersion");
  const message: Exchange = {
    sender: isSoundSender ? sender : undefined,
    leaving: value.leaving,
    configVersion: isSoundVersion ? configVersion : 0,
    peers: items.filter("peers", value.peers, isPlace),
    rollouts: items
      .filter("rollouts", value.rollouts, isRolloutReport)
      .map((report) => ({
        ...report,
        tallies: items.filter("tallies", report.tallies, isTally),
        failing: items.filter(
          "failing",
          report.failing,
          ({ origin, endpoint }) => isName(origin) && isName(endpoint),
        ),
      })),
    sessions: items.filter("sessions", value.sessions, isSessionReport),
    limits: items.filter("limits", value.limits, isLimitReport),
    crashes: items.filter("crashes", value.crashes, isCrash).map((crash) => ({
      ...crash,
      prompts: items.filter("prompts", crash.prompts, isCrashPrompt),
    })),
    holds: items.filter("holds", value.holds, isHold),
    loads: items.filter("loads", value.loads, isLoadReport),
    dataCentreLoads: items
      .filter("dataCentreLoads", value.dataCentreLoads, ({ dataCentre }) =>
        isName(dataCentre),
      )
      .map((sum) => ({
        ...sum,
        loads: items.filter("loads", sum.loads, isLoadReport),
      })),
  };
  return ok({ message, oddKinds: [...oddKinds] });
}

export function decodeNewsQuestion(
  data: Uint8Array,
): Result<NewsQuestion, string> {
  return decodeMessage(
    data,
    NESTED_FIELDS.question,
    NewsQuestion.decode,
  ).andThen((question) => {
    const { positions, era } = question;
    const isSound =
      isCount(era) &&
      positions.length <= MAX_ITEMS.positions &&
      positions.every(({ revision }) => isRevision(revision));
    return isSound ? ok(question) : err("a number is odd");
  });
}

export function decodeNews(data: Uint8Array): Result<News, string> {
  return decodeMessage(data, NESTED_FIELDS.news, News.decode).andThen(
    (news) => {
      const { views, era } = news;
      const isSound =
        isCount(era) &&
        views.length <= MAX_ITEMS.views &&
        views.every(
          ({ revision, changes }) =>
            isRevision(revision) && changes.length <= MAX_ITEMS.changes,
        );
      if (!isSound) return err("a number is odd");
      // Each change is JSON of the store.
      let values = 0;
      for (const { changes } of views)
        for (const change of changes) values += countValues(change);
      return values <= getMaxValues()
        ? ok(news)
        : err(refuse(`more than ${getMaxValues()} values`));
    },
  );
}

function getMaxValues(): number {
  return Math.min(MAX_STORE_VALUES, receivedMemory.maxValues);
}

function refuse(detail: string): string {
  receivedMemory.report(SENDER.peer, RECEIVED_REFUSAL.manyItems);
  return detail;
}

function decodeMessage<Message>(
  data: Uint8Array,
  nested: NestedFields,
  decode: (data: Uint8Array) => Message,
): Result<Message, string> {
  try {
    const fields = countFields(data, nested, MAX_MESSAGE_FIELDS);
    return fields > MAX_MESSAGE_FIELDS
      ? err(refuse(`more than ${MAX_MESSAGE_FIELDS} fields`))
      : ok(decode(data));
  } catch (error) {
    return err(String(error));
  }
}

function isName(text: string): boolean {
  return text.length <= MAX_NAME_LENGTH;
}

function isRevision(value: number): boolean {
  return value >= 0 && value <= MAX_REVISION;
}

/** An era is a count in a field for any number. */
function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}

function isPlace({
  name,
  incarnation,
  address,
  port,
  dataCentre,
}: Place): boolean {
  return (
    name !== "" &&
    [name, incarnation, dataCentre].every(isName) &&
    isIP(address) !== 0 &&
    port >= 1 &&
    port <= MAX_PORT
  );
}

function isRolloutReport(report: RolloutReport): boolean {
  const { service, target, createdRevision } = report;
  return isName(service) && isName(target) && isRevision(createdRevision);
}

function isTally(tally: RolloutTally): boolean {
  const { origin, route, answers, failures, rejections } = tally;
  const { timed, logSlowness } = tally;
  return (
    isName(origin) &&
    isName(route) &&
    failures + rejections <= answers &&
    timed <= answers &&
    Math.abs(logSlowness) <= timed * MAX_LOG_SLOWNESS
  );
}

function isSessionReport(report: SessionReport): boolean {
  const { service, session, version } = report;
  const isSound = isName(service) && isName(version);
  return isSound && session.length <= MAX_SESSION_LENGTH;
}

function isLimitReport(report: LimitReport): boolean {
  const { endpoint, startedAtMs, perSecond } = report;
  return (
    isName(endpoint) &&
    Number.isFinite(startedAtMs) &&
    perSecond >= 0 &&
    perSecond <= MAX_RATE
  );
}

function isLoadReport(report: LoadReport): boolean {
  const { endpoint, runningWork, pendingTokens } = report;
  return (
    isName(endpoint) &&
    [runningWork, pendingTokens].every((load) => load >= 0 && load <= MAX_LOAD)
  );
}

function isCrash({ endpoint }: EndpointCrash): boolean {
  return isName(endpoint);
}

function isCrashPrompt({ ids }: PromptParts): boolean {
  return isSuspectList(ids);
}

function isHold({ parts }: PromptHold): boolean {
  return parts.length > 0 && isSuspectList(parts);
}

function isSuspectList(ids: readonly string[]): boolean {
  const isSuspectId = (id: string) => id.length <= MAX_PART_ID_LENGTH;
  return ids.length <= MAX_SUSPECT_IDS && ids.every(isSuspectId);
}
