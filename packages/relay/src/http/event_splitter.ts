import { ChunkBuffer } from "@lavenderferry/runtime";

const separators = [Buffer.from("\n\n"), Buffer.from("\r\n\r\n")] as const;
const idPattern = /(?:^|\n)id: ?([^\r\n]*)/g;

/** Bytes of a separator that may have arrived before the rest of it. */
const maxSeparatorStart = 3;

/** Complete events of a stream. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly count: number;
  /** Id of the last event that has one; `null`: none has. */
  readonly lastEventId: string | null;
}

/**
 * Splits a stream of server-sent events at event boundaries, so that it can be
 * continued with the events of another upstream. The bytes stay unchanged.
 */
export class EventSplitter {
  readonly #partialEvent = new ChunkBuffer();

  /** Bytes of an event that is not complete yet. */
  get partialEvent(): Buffer {
    return this.#partialEvent.bytes;
  }

  /** What it took to receive the event that is not complete yet, in bytes. */
  get cost(): number {
    return this.#partialEvent.cost;
  }

  /** Bytes of memory that the splitter takes. */
  get capacity(): number {
    return this.#partialEvent.capacity;
  }

  /** Discards an event that is not complete yet. */
  clear(): void {
    this.#partialEvent.clear();
  }

  /** Adds a chunk; returns the events that it completes, or `null`. */
  push(chunk: Buffer): EventBatch | null {
    // What was searched before holds no whole separator.
    const searchFrom = Math.max(
      0,
      this.#partialEvent.length - maxSeparatorStart,
    );
    const hadPartialEvent = this.#partialEvent.length > 0;
    if (hadPartialEvent) {
      this.#partialEvent.push(chunk);
    }
    const bytes = hadPartialEvent ? this.#partialEvent.bytes : chunk;
    const { end, count } = findSeparators(bytes, searchFrom);
    if (end === 0) {
      if (!hadPartialEvent) {
        this.#partialEvent.push(chunk);
      }
      return null;
    }
    const complete = hadPartialEvent
      ? Buffer.from(bytes.subarray(0, end))
      : chunk.subarray(0, end);
    const rest = hadPartialEvent
      ? Buffer.from(bytes.subarray(end))
      : chunk.subarray(end);
    this.#partialEvent.clear();
    if (rest.length > 0) {
      this.#partialEvent.push(rest);
    }
    let lastEventId: string | null = null;
    for (const [, id] of complete.toString("latin1").matchAll(idPattern)) {
      lastEventId = id ?? lastEventId;
    }
    return { bytes: complete, count, lastEventId };
  }
}

/** Counts the separators in `bytes`; `end` is the end of the last one, or 0. */
function findSeparators(
  bytes: Buffer,
  from: number,
): { readonly end: number; readonly count: number } {
  let end = 0;
  let count = 0;
  for (const separator of separators) {
    for (
      let index = bytes.indexOf(separator, from);
      index >= 0;
      index = bytes.indexOf(separator, index + separator.length)
    ) {
      end = Math.max(end, index + separator.length);
      count += 1;
    }
  }
  return { end, count };
}
