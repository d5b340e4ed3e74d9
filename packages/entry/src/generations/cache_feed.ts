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

/** Follows the cache events of one engine by their sequence numbers. */
export class CacheFeed {
  #sequence = 0;

  /** Sequence after which events are wanted. */
  get after(): number {
    return this.#sequence;
  }

  /** Takes an answer of the engine; returns the changes that are new. */
  take(body: unknown): readonly CacheChange[] {
    const changes: CacheChange[] = [];
    for (const event of eventsSchema.parse(body).events) {
      const { sequence, stored, dropped } = event;
      if (sequence > this.#sequence) {
        const gap = sequence > this.#sequence + 1;
        this.#sequence = sequence;
        changes.push({ stored, dropped, gap });
      }
    }
    return changes;
  }
}
