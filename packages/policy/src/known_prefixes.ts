import type { CacheChange } from "./dispatcher.ts";

const maxDigests = 4_096;

/** Digests that an engine's prefix cache is believed to hold. */
export class KnownPrefixes {
  readonly #digests = new Set<string>();

  /** Takes an event of the cache; after a gap nothing older is believed. */
  take({ stored, dropped, gap }: CacheChange): void {
    if (gap) {
      this.#digests.clear();
    }
    dropped.forEach((digest) => this.#digests.delete(digest));
    this.expect(stored);
  }

  /** Expects that digests will be stored by work that was sent. */
  expect(digests: readonly string[]): void {
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

  /** Returns how many of the first blocks are held. */
  match(digests: readonly string[]): number {
    const missing = digests.findIndex((each) => !this.#digests.has(each));
    return missing < 0 ? digests.length : missing;
  }
}
