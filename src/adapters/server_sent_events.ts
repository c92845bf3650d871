/** Parser of a server-sent event stream. */

export interface ServerSentEvent {
  /** "message" when the event has no type. */
  readonly event: string;
  readonly data: string;
}

/** Larger than any engine's event; bounds memory if no line break arrives. */
const MAX_EVENT_CHARACTERS = 1_000_000;

export class EventTooLarge extends Error {
  override readonly name = "EventTooLarge";
}

/**
 * Yields each event that is closed by an empty line. An event that the
 * stream's end cuts off is dropped, as the HTML standard requires.
 */
export async function* readEvents(
  stream: AsyncIterable<Buffer>,
): AsyncGenerator<ServerSentEvent> {
  const decoder = new TextDecoder();
  let unparsed = "";
  let event = "message";
  let data: string[] = [];
  for await (const bytes of stream) {
    unparsed += decoder.decode(bytes, { stream: true });
    const lines = unparsed.split(/\r\n|\n|\r(?!$)/);
    unparsed = lines.pop() ?? "";
    if (unparsed.length > MAX_EVENT_CHARACTERS) {
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
  const colonIndex = line.indexOf(":");
  if (colonIndex < 0) return [line, ""];
  const value = line.slice(colonIndex + 1);
  return [
    line.slice(0, colonIndex),
    value.startsWith(" ") ? value.slice(1) : value,
  ];
}
