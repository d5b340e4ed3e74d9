/**
 * Tokens per millisecond before any copy was seen: half of what a link of 14
 * Gbit/s carries at 96 KB a token, as copies between data centres take twice
 * as long.
 */
const initialRate = 9;

/** Weight of the newest copy. */
const newestWeight = 0.2;

/** How fast engines copy generations' memory, their waits for links included. */
export class CopyRate {
  #tokensPerMs = initialRate;

  /** Tokens per millisecond. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Takes the time that a whole copy took. */
  observe(tokens: number, milliseconds: number): void {
    if (tokens > 0 && milliseconds > 0) {
      const seen = tokens / milliseconds;
      this.#tokensPerMs += newestWeight * (seen - this.#tokensPerMs);
    }
  }
}
