/** Parameters of a retry budget. */
export interface RetryAllowance {
  /** Retries allowed per first attempt. */
  readonly share: number;
  /** Retries allowed in a row without first attempts. */
  readonly burst: number;
}

const defaultAllowance: RetryAllowance = { share: 0.1, burst: 10 };

/** Token bucket that limits retries to a share of the first attempts. */
export class RetryBudget {
  readonly #share: number;
  #burst: number;
  #tokens: number;

  constructor({ share, burst }: RetryAllowance = defaultAllowance) {
    this.#share = share;
    this.#burst = burst;
    this.#tokens = burst;
  }

  /** Sets the number of retries allowed in a row. */
  setBurst(burst: number): void {
    this.#burst = burst;
    this.#tokens = Math.min(this.#tokens, burst);
  }

  /** Whether a retry is allowed now. */
  get available(): boolean {
    return this.#tokens >= 1;
  }

  /** Adds the share that a first attempt earns. */
  deposit(): void {
    this.#tokens = Math.min(this.#burst, this.#tokens + this.#share);
  }

  /** Consumes one retry; returns `false` if none is left. */
  tryWithdraw(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
