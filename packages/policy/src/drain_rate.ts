const halfLifeMs = 3_000;
/** Observed time below which the rate is unknown. */
const minElapsedMs = 500;

/** Rate at which queued work starts, with exponential decay. */
export class DrainRate {
  #startedCost = 0;
  #elapsedMs = 0;
  #updatedAt: number | null = null;

  /** Adds started work; time counts only while the backlog is not empty. */
  recordStart(cost: number, now: number, hasBacklog: boolean): void {
    const passedMs = this.#updatedAt === null ? 0 : now - this.#updatedAt;
    const decayFactor = 2 ** (-passedMs / halfLifeMs);
    this.#updatedAt = now;
    if (!hasBacklog) {
      return;
    }
    this.#startedCost = this.#startedCost * decayFactor + cost;
    this.#elapsedMs = this.#elapsedMs * decayFactor + passedMs;
  }

  /** Returns the time until work of a cost has started; 0 if unknown. */
  waitMsFor(cost: number): number {
    if (this.#elapsedMs < minElapsedMs || this.#startedCost <= 0) {
      return 0;
    }
    return cost * this.#elapsedMs / this.#startedCost;
  }
}
