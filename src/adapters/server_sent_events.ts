/** Parser of a server-sent event stream. */

export interface ServerSentEvent {
  /** "message" when the event names no type. */
  readonly event: string;
  readonly data: string;
}

/** Above any event of an engine; bounds the memory of a stream without line ends. */
const MAX_EVENT_CHARACTERS = 1_000_000;

export class EventTooLarge extends Error {
  override readonly name = "EventTooLarge";
}

/**
 * Yields each event that is closed by an empty line. An event that the
 * stream's end cuts off is dropped, as the format demands.
 */
export async function* readEvents(
  stream: AsyncIterable<Buffer>,
): AsyncGenerator<ServerSentEvent> {
  const decoder = new TextDecoder();
  let rest = "";
  let event = "message";
  let data: string[] = [];
  for await (const part of stream) {
    rest += decoder.decode(part, { stream: true });
    const lines = rest.split(/\r\n|\n|\r(?!$)/);
    rest = lines.pop() ?? "";
    if (rest.length > MAX_EVENT_CHARACTERS) {
      throw new EventTooLarge(
        `Event exceeds ${MAX_EVENT_CHARACTERS} characters`,
      );
    }
    for (const line of lines) {
      const [field, value] = parseField(line);
      if (line === "") {
        if (data.length > 0) yield { event, data: data.join("\n") };
        event = "message";
        data = [];
      } else if (field === "data") data.push(value);
      else if (field === "event") event = value;
    }
  }
}

function parseField(line: string): [string, string] {
  const at = line.indexOf(":");
  if (at < 0) return [line, ""];
  const value = line.slice(at + 1);
  return [line.slice(0, at), value.startsWith(" ") ? value.slice(1) : value];
}
