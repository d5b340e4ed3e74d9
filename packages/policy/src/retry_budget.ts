const share = 0.1;
const burst = 10;

/** Allows second tries as a share of first tries. */
export class RetryBudget {
  #tokens = burst;

  /** Notes a first try. */
  earn(): void {
    this.#tokens = Math.min(burst, this.#tokens + share);
  }

  /** Takes one retry; `false` when none is left. */
  spend(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
