const separators = ["\n\n", "\r\n\r\n"] as const;
const idPattern = /(?:^|\n)id: ?([^\r\n]*)/g;

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
  #partialEvent: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not complete yet. */
  get partialEvent(): Buffer {
    return this.#partialEvent;
  }

  /** Adds a chunk; returns the events that it completes, or `null`. */
  push(chunk: Buffer): EventBatch | null {
    const bytes = this.#partialEvent.length === 0
      ? chunk
      : Buffer.concat([this.#partialEvent, chunk]);
    let end = 0;
    let count = 0;
    for (const separator of separators) {
      for (
        let index = bytes.indexOf(separator);
        index >= 0;
        index = bytes.indexOf(separator, index + separator.length)
      ) {
        end = Math.max(end, index + separator.length);
        count += 1;
      }
    }
    this.#partialEvent = bytes.subarray(end);
    if (end === 0) {
      return null;
    }
    const complete = bytes.subarray(0, end);
    let lastEventId: string | null = null;
    for (const [, id] of complete.toString("latin1").matchAll(idPattern)) {
      lastEventId = id ?? lastEventId;
    }
    return { bytes: complete, count, lastEventId };
  }
}
