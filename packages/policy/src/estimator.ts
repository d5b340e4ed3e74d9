import { startDeadline } from "./class_targets.ts";
import type { Demand } from "./dispatcher.ts";
import type { Tail } from "./length_distribution.ts";
import { meanRemaining, priorTail } from "./length_distribution.ts";
import type { OutputLengths } from "./output_lengths.ts";
import type { Footprint } from "./overflow_risk.ts";

/** Start-up time of a generation, excluding its queueing and prefill. */
const startOverheadMs = 100;

/** Milliseconds of prefill per prompt token. */
export const prefillMsPerToken = 0.02;

/** Estimated output and memory use of a demand. */
export interface Estimate {
  readonly outputTokens: number;
  readonly footprint: Footprint;
  /** Expected memory use over time, in tokens times steps. */
  readonly cost: number;
}

/** Estimates demands from learned output lengths. */
export class Estimator {
  /** `null` to use the prior alone. */
  readonly #lengths: OutputLengths | null;

  constructor(lengths: OutputLengths | null) {
    this.#lengths = lengths;
  }

  /** Returns the distribution of a demand's output length. */
  tailOf(demand: Demand): Tail {
    return this.#lengths === null ? priorTail : this.#lengths.tailOf(demand);
  }

  /** Returns the estimate for a demand. */
  estimate(demand: Demand): Estimate {
    const { promptTokens, maxTokens } = demand;
    const tail = this.tailOf(demand);
    const footprint = {
      heldTokens: promptTokens,
      producedTokens: 0,
      maxTokens,
      tail,
    };
    const outputTokens = meanRemaining(tail, 0, maxTokens);
    const cost = (promptTokens + outputTokens / 2) * (outputTokens + 1);
    return { outputTokens, footprint, cost };
  }
}

/** Returns the latest start that is expected to meet a demand's targets. */
export function estimateStartDeadline(
  demand: Demand,
  { outputTokens }: Estimate,
  stepMs: number,
): number {
  return startDeadline(demand, {
    firstTokenMs: startOverheadMs + demand.promptTokens * prefillMsPerToken,
    decodeMs: outputTokens * stepMs,
  });
}
