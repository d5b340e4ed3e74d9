const separators = ["\n\n", "\r\n\r\n"] as const;
const idPattern = /(?:^|\n)id: ?([^\r\n]*)/g;

/** Whole events with the id of the last one that has an id. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastEventId: string | null;
}

/**
 * Cuts a stream of events between events, so that what is passed on can be
 * continued with bytes from another upstream. The bytes stay as they are.
 */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  /** Takes bytes and returns the events that they complete. */
  push(chunk: Buffer): EventBatch | null {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
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
    this.#rest = bytes.subarray(end);
    if (end === 0) {
      return null;
    }
    const whole = bytes.subarray(0, end);
    let lastEventId: string | null = null;
    for (const [, id] of whole.toString("latin1").matchAll(idPattern)) {
      lastEventId = id ?? lastEventId;
    }
    return { bytes: whole, count, lastEventId };
  }
}
