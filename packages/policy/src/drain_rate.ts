const halfLifeMs = 3_000;
const minElapsedMs = 500;

/** Measures how much waiting work starts per millisecond. */
export class DrainRate {
  #amount = 0;
  #elapsed = 0;
  #at: number | null = null;

  /** Notes started work; counts time only while work waits. */
  started(amount: number, now: number, busy: boolean): void {
    const passed = this.#at === null ? 0 : now - this.#at;
    const factor = 2 ** (-passed / halfLifeMs);
    this.#at = now;
    if (!busy) {
      return;
    }
    this.#amount = this.#amount * factor + amount;
    this.#elapsed = this.#elapsed * factor + passed;
  }

  /** Returns the milliseconds until the amount has started; 0 if unknown. */
  wait(amount: number): number {
    if (this.#elapsed < minElapsedMs || this.#amount <= 0) {
      return 0;
    }
    return amount * this.#elapsed / this.#amount;
  }
}
