import type { CacheChange } from "@lavenderferry/policy";
import { z } from "zod";

const digestsSchema = z.array(z.string());

const eventsSchema = z.object({
  events: z.array(z.object({
    sequence: z.int(),
    stored: digestsSchema,
    dropped: digestsSchema,
  })),
});

/** Reads the cache events of one engine in order of their sequence numbers. */
export class CacheFeed {
  #lastSequence = 0;

  /** Sequence number of the last event received; 0 before the first. */
  get lastSequence(): number {
    return this.#lastSequence;
  }

  /**
   * Returns the changes in an answer of the engine that were not received
   * before. Throws if the answer does not match the schema.
   */
  receive(body: unknown): readonly CacheChange[] {
    const changes: CacheChange[] = [];
    for (const event of eventsSchema.parse(body).events) {
      const { sequence, stored, dropped } = event;
      if (sequence > this.#lastSequence) {
        const gap = sequence > this.#lastSequence + 1;
        this.#lastSequence = sequence;
        changes.push({ stored, dropped, gap });
      }
    }
    return changes;
  }
}
