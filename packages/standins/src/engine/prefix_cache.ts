import { tokensPerBlock } from "@lavenderferry/policy";

/** One change of the prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  /** Monotonic milliseconds at which the change took place. */
  readonly at: number;
  readonly stored: readonly string[];
  readonly dropped: readonly string[];
}

/** How late and how complete the events are that readers get. */
export interface CacheEventFaults {
  /** Milliseconds by which events are late. */
  readonly lagMs: number;
  /** Every event with a multiple of this sequence is lost; 0: none is. */
  readonly loseEvery: number;
}

/** Blocks of prompts, dropped when they were not used for longest. */
export class PrefixCache {
  readonly #capacity: number;
  readonly #blocks = new Set<string>();
  readonly #events: CacheEvent[] = [];
  #sequence = 0;

  constructor(capacityTokens: number) {
    this.#capacity = Math.floor(capacityTokens / tokensPerBlock);
  }

  /** Returns how many of the first blocks are held. */
  match(digests: readonly string[]): number {
    const missing = digests.findIndex((each) => !this.#blocks.has(each));
    return missing < 0 ? digests.length : missing;
  }

  /** Stores the blocks and drops the ones not used for longest. */
  store(digests: readonly string[], at = performance.now()): void {
    const stored = digests.filter((each) => !this.#blocks.has(each));
    for (const digest of digests) {
      this.#blocks.delete(digest);
      this.#blocks.add(digest);
    }
    const dropped = this.#evict();
    if (stored.length > 0 || dropped.length > 0) {
      const sequence = ++this.#sequence;
      this.#events.push({ sequence, at, stored, dropped });
    }
    if (this.#events.length > maxEvents) {
      this.#events.shift();
    }
  }

  /** Returns the events after a sequence that are still held. */
  eventsAfter(
    sequence: number,
    { lagMs, loseEvery }: CacheEventFaults = { lagMs: 0, loseEvery: 0 },
    now = performance.now(),
  ): readonly CacheEvent[] {
    return this.#events.filter((event) =>
      event.sequence > sequence && event.at <= now - lagMs &&
      (loseEvery === 0 || event.sequence % loseEvery !== 0)
    );
  }

  #evict(): string[] {
    const dropped: string[] = [];
    for (const digest of this.#blocks) {
      if (this.#blocks.size <= this.#capacity) {
        break;
      }
      this.#blocks.delete(digest);
      dropped.push(digest);
    }
    return dropped;
  }
}

const maxEvents = 256;
