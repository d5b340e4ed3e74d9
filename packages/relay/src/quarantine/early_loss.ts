import type { BegunPrompt } from "@lavenderferry/policy";

/** Attempts that an engine had just begun when their connections were lost. */
export interface EarlyLoss {
  /** Monotonic milliseconds of the first of them. */
  readonly lostAt: number;
  readonly address: string;
  readonly prompts: BegunPrompt[];
}
