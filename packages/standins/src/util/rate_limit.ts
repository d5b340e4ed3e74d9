const millisecondsPerSecond = 1_000;

/** A token bucket whose capacity is the operations of one second. */
export class RateLimit {
  readonly #operationsPerSecond: number;
  #available: number;
  #refilledAt: number;

  constructor(operationsPerSecond: number, now: number) {
    this.#operationsPerSecond = operationsPerSecond;
    this.#available = operationsPerSecond;
    this.#refilledAt = now;
  }

  /**
   * Takes `amount` operations if they are available, otherwise none; returns
   * whether it did. `now` is in monotonic milliseconds.
   */
  tryAcquire(amount: number, now: number): boolean {
    const elapsedSeconds = (now - this.#refilledAt) / millisecondsPerSecond;
    const refilled = this.#available +
      elapsedSeconds * this.#operationsPerSecond;
    this.#available = Math.min(this.#operationsPerSecond, refilled);
    this.#refilledAt = now;
    if (amount > this.#available) {
      return false;
    }
    this.#available -= amount;
    return true;
  }
}
