import type { CacheChange } from "./dispatcher.ts";

/** Digests that are kept for one engine, and for all engines of a pool. */
const maxDigests = 4_096;
const maxPoolDigests = 131_072;

/** Returns how many digests may be kept for each engine of a pool. */
export function prefixCapacity(engines: number): number {
  const share = Math.floor(maxPoolDigests / Math.max(1, engines));
  return Math.max(1, Math.min(maxDigests, share));
}

/** Prefix digests that an engine's cache is expected to hold, bounded. */
export class KnownPrefixes {
  readonly #digests = new Set<string>();

  /** Number of digests that are kept. */
  get size(): number {
    return this.#digests.size;
  }

  /** Applies a cache event; a gap discards all earlier digests. */
  applyChange({ stored, dropped, gap }: CacheChange): void {
    if (gap) {
      this.#digests.clear();
    }
    dropped.forEach((digest) => this.#digests.delete(digest));
    this.addExpected(stored);
  }

  /**
   * Adds digests that dispatched work will store, the leading ones if they are
   * more than `capacity`, in place of the least recently added ones.
   */
  addExpected(digests: readonly string[], capacity = maxDigests): void {
    for (const digest of digests.slice(0, capacity)) {
      this.#digests.delete(digest);
      this.#digests.add(digest);
    }
    for (const digest of this.#digests) {
      if (this.#digests.size <= capacity) {
        break;
      }
      this.#digests.delete(digest);
    }
  }

  /** Returns the number of leading blocks that the cache holds. */
  countHeldBlocks(digests: readonly string[]): number {
    const firstMissing = digests.findIndex((digest) =>
      !this.#digests.has(digest)
    );
    return firstMissing < 0 ? digests.length : firstMissing;
  }
}
