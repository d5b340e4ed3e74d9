import { tokensPerBlock } from "@lavenderferry/policy";

/** One change of the prefix cache, with the digests of the blocks. */
export interface CacheEvent {
  readonly sequence: number;
  /** Monotonic milliseconds at which the change took place. */
  readonly at: number;
  readonly stored: readonly string[];
  readonly dropped: readonly string[];
}

/** Faults in the delivery of cache events. */
export interface CacheEventFaults {
  /** Milliseconds after the change until its event is visible. */
  readonly lagMs: number;
  /** Loses events whose sequence is a multiple of this; 0 loses none. */
  readonly loseEvery: number;
}

/** An LRU cache of prompt blocks that records its changes as events. */
export class PrefixCache {
  readonly #capacityBlocks: number;
  /** Digests in the order of their last use. */
  readonly #blocks = new Set<string>();
  readonly #events: CacheEvent[] = [];
  #sequence = 0;

  constructor(capacityTokens: number) {
    this.#capacityBlocks = Math.floor(capacityTokens / tokensPerBlock);
  }

  /** Returns the number of leading blocks that are cached. */
  countPrefixHits(digests: readonly string[]): number {
    const firstMissIndex = digests.findIndex((digest) =>
      !this.#blocks.has(digest)
    );
    return firstMissIndex < 0 ? digests.length : firstMissIndex;
  }

  /** Stores the blocks and evicts the least recently used ones. */
  store(digests: readonly string[], at = performance.now()): void {
    const stored = digests.filter((digest) => !this.#blocks.has(digest));
    for (const digest of digests) {
      this.#blocks.delete(digest);
      this.#blocks.add(digest);
    }
    const dropped = this.#evict();
    if (stored.length > 0 || dropped.length > 0) {
      const sequence = ++this.#sequence;
      this.#events.push({ sequence, at, stored, dropped });
    }
    if (this.#events.length > maxRetainedEvents) {
      this.#events.shift();
    }
  }

  /** Returns the visible events after a sequence; only 256 are retained. */
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
      if (this.#blocks.size <= this.#capacityBlocks) {
        break;
      }
      this.#blocks.delete(digest);
      dropped.push(digest);
    }
    return dropped;
  }
}

const maxRetainedEvents = 256;
