/**
 * Tokens per millisecond that are assumed before the first copy. This is half
 * of what a network link of 14 Gbit/s carries at 96 KB per token, as copies
 * between data centres take twice as long.
 */
const initialTokensPerMs = 9;

/** Weight of the newest sample in the moving average. */
const newestSampleWeight = 0.2;

/**
 * Moving average of the rate at which engines copy the memory of generations.
 * It includes the time that copies wait for the network link.
 */
export class CopyRate {
  #tokensPerMs = initialTokensPerMs;

  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Adds a complete copy as a sample; ignores empty or instant ones. */
  observe(tokens: number, milliseconds: number): void {
    if (tokens > 0 && milliseconds > 0) {
      const sample = tokens / milliseconds;
      this.#tokensPerMs += newestSampleWeight * (sample - this.#tokensPerMs);
    }
  }
}
