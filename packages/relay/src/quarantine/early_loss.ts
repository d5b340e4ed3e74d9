/** Attempts that an engine had just begun when their connections were lost. */
export interface EarlyLoss {
  /** Monotonic milliseconds of the first of them. */
  readonly lostAt: number;
  readonly address: string;
  /** Shared blocks of each attempt's prompt. */
  readonly prompts: (readonly string[])[];
}
