import type { CacheChange } from "./dispatcher.ts";

const maxDigests = 4_096;

/** Prefix digests that an engine's cache is expected to hold, bounded. */
export class KnownPrefixes {
  readonly #digests = new Set<string>();

  /** Applies a cache event; a gap discards all earlier digests. */
  applyChange({ stored, dropped, gap }: CacheChange): void {
    if (gap) {
      this.#digests.clear();
    }
    dropped.forEach((digest) => this.#digests.delete(digest));
    this.addExpected(stored);
  }

  /** Adds digests that dispatched work will store. */
  addExpected(digests: readonly string[]): void {
    for (const digest of digests) {
      this.#digests.delete(digest);
      this.#digests.add(digest);
    }
    for (const digest of this.#digests) {
      if (this.#digests.size <= maxDigests) {
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
