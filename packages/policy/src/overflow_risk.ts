import type { Tail } from "./length_distribution.ts";
import { conditionalSurvival } from "./length_distribution.ts";

/** Decoding steps from now at which memory use is forecast. */
export const horizonSteps = [
  0,
  8,
  16,
  32,
  64,
  128,
  256,
  512,
  1_024,
  2_048,
] as const;

/** Survival probability below which a generation counts as ended. */
const minSurvival = 0.05;

/** Present memory use and expected growth of one generation. */
export interface Footprint {
  /** Tokens in memory now: the prompt and the output so far. */
  readonly heldTokens: number;
  /** Output tokens so far. */
  readonly producedTokens: number;
  readonly maxTokens: number;
  readonly tail: Tail;
}

/**
 * Mean and variance of the memory in use at each step of the horizon, in
 * tokens. Generations that end free their memory.
 */
export class MemoryForecast {
  readonly mean = new Float64Array(horizonSteps.length);
  readonly variance = new Float64Array(horizonSteps.length);

  /** Adds a generation. */
  add({ heldTokens, producedTokens, maxTokens, tail }: Footprint): void {
    for (let index = 0; index < horizonSteps.length; index++) {
      const steps = horizonSteps[index] ?? 0;
      const survival = producedTokens + steps >= maxTokens
        ? 0
        : conditionalSurvival(tail, producedTokens, steps);
      const laterTokens = heldTokens + steps;
      this.mean[index] = (this.mean[index] ?? 0) + laterTokens * survival;
      this.variance[index] = (this.variance[index] ?? 0) +
        laterTokens * laterTokens * survival * (1 - survival);
    }
  }

  /** Scales the forecast as if there were `factor` times the generations. */
  scale(factor: number): void {
    for (let index = 0; index < horizonSteps.length; index++) {
      this.mean[index] = (this.mean[index] ?? 0) * factor;
      this.variance[index] = (this.variance[index] ?? 0) * factor;
    }
  }

  /** Adds memory that stays in use over the whole horizon. */
  addConstant(tokens: number): void {
    for (let index = 0; index < horizonSteps.length; index++) {
      this.mean[index] = (this.mean[index] ?? 0) + tokens;
    }
  }

  /** Adds to the variance at every step. */
  addVariance(squaredTokens: number): void {
    for (let index = 0; index < horizonSteps.length; index++) {
      this.variance[index] = (this.variance[index] ?? 0) + squaredTokens;
    }
  }

  /**
   * Returns the highest probability that memory overflows while an added
   * generation is likely to run.
   */
  overflowRiskWith(added: Footprint, memoryTokens: number): number {
    const { heldTokens, producedTokens, maxTokens, tail } = added;
    let maxRisk = 0;
    for (let index = 0; index < horizonSteps.length; index++) {
      const steps = horizonSteps[index] ?? 0;
      const survival = producedTokens + steps >= maxTokens
        ? 0
        : conditionalSurvival(tail, producedTokens, steps);
      if (survival < minSurvival) {
        break;
      }
      const laterTokens = heldTokens + steps;
      const mean = (this.mean[index] ?? 0) + laterTokens * survival;
      const variance = (this.variance[index] ?? 0) +
        laterTokens * laterTokens * survival * (1 - survival);
      maxRisk = Math.max(maxRisk, exceedance(memoryTokens - mean, variance));
    }
    return maxRisk;
  }
}

/** Returns the probability that a normal variable exceeds mean + headroom. */
export function exceedance(headroomTokens: number, variance: number): number {
  if (variance <= 0) {
    return headroomTokens >= 0 ? 0 : 1;
  }
  const z = headroomTokens / Math.sqrt(variance);
  const probability = upperTail(Math.abs(z));
  return z >= 0 ? probability : 1 - probability;
}

/** Upper tail of the standard normal distribution (Abramowitz 26.2.17). */
function upperTail(z: number): number {
  const t = 1 / (1 + 0.231_641_9 * z);
  const polynomial = t * (0.319_381_53 + t * (-0.356_563_782 +
        t * (1.781_477_937 + t * (-1.821_255_978 + t * 1.330_274_429))));
  return Math.exp(-z * z / 2) / Math.sqrt(2 * Math.PI) * polynomial;
}
