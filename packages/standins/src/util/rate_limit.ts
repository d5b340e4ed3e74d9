const millisecondsPerSecond = 1_000;

/** A token bucket that holds one second's worth of operations. */
export class RateLimit {
  readonly #perSecond: number;
  #left: number;
  #filledAt: number;

  constructor(perSecond: number, now: number) {
    this.#perSecond = perSecond;
    this.#left = perSecond;
    this.#filledAt = now;
  }

  /** Takes operations at a monotonic time; returns whether they were left. */
  take(amount: number, now: number): boolean {
    const gained = (now - this.#filledAt) / millisecondsPerSecond;
    const filled = this.#left + gained * this.#perSecond;
    this.#left = Math.min(this.#perSecond, filled);
    this.#filledAt = now;
    if (amount > this.#left) {
      return false;
    }
    this.#left -= amount;
    return true;
  }
}
