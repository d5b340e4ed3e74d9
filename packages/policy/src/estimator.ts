import { startDeadline } from "./class_targets.ts";
import type { Demand } from "./dispatcher.ts";
import type { Tail } from "./length_distribution.ts";
import { meanRemaining, priorTail } from "./length_distribution.ts";
import type { OutputLengths } from "./output_lengths.ts";
import type { Footprint } from "./overflow_risk.ts";

/** Start of a generation beside its queueing. */
const startMs = 100;

/** Time that one prompt token takes to compute. */
export const prefillMsPerToken = 0.02;

/** What is estimated of a demand. */
export interface Estimate {
  readonly outputTokens: number;
  readonly footprint: Footprint;
  /** Expected use of memory over time, in tokens times steps. */
  readonly cost: number;
}

/** Estimates demands from the lengths that were learned. */
export class Estimator {
  /** `null` estimates from the prior alone. */
  readonly #lengths: OutputLengths | null;

  constructor(lengths: OutputLengths | null) {
    this.#lengths = lengths;
  }

  /** Returns the distribution of a demand's output length. */
  tailOf(demand: Demand): Tail {
    return this.#lengths === null ? priorTail : this.#lengths.tailOf(demand);
  }

  /** Returns what is expected of a demand. */
  estimate(demand: Demand): Estimate {
    const { promptTokens: tokens, maxTokens } = demand;
    const tail = this.tailOf(demand);
    const footprint = { tokens, done: 0, maxTokens, tail };
    const outputTokens = meanRemaining(tail, 0, maxTokens);
    const cost = (tokens + outputTokens / 2) * (outputTokens + 1);
    return { outputTokens, footprint, cost };
  }
}

/** Returns the latest start that still meets a demand's targets. */
export function deadlineOf(
  demand: Demand,
  { outputTokens }: Estimate,
  stepMs: number,
): number {
  return startDeadline(demand, {
    firstTokenMs: startMs + demand.promptTokens * prefillMsPerToken,
    decodeMs: outputTokens * stepMs,
  });
}
