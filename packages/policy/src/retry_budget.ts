/** How many second tries are allowed. */
export interface RetryAllowance {
  /** Second tries for each first try. */
  readonly share: number;
  /** Second tries that may follow each other without first tries. */
  readonly burst: number;
}

const defaultAllowance: RetryAllowance = { share: 0.1, burst: 10 };

/** Allows second tries as a share of first tries. */
export class RetryBudget {
  readonly #share: number;
  #burst: number;
  #tokens: number;

  constructor({ share, burst }: RetryAllowance = defaultAllowance) {
    this.#share = share;
    this.#burst = burst;
    this.#tokens = burst;
  }

  /** Changes how many tries may follow each other. */
  limit(burst: number): void {
    this.#burst = burst;
    this.#tokens = Math.min(this.#tokens, burst);
  }

  /** Whether a retry is left. */
  get available(): boolean {
    return this.#tokens >= 1;
  }

  /** Notes a first try. */
  earn(): void {
    this.#tokens = Math.min(this.#burst, this.#tokens + this.#share);
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
