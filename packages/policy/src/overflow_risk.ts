import type { Tail } from "./length_distribution.ts";
import { conditionalSurvival } from "./length_distribution.ts";

/** Steps from now at which the memory is predicted. */
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

/** Chance of still running below which a generation no longer counts. */
const leastSurvival = 0.05;

/** Memory of one generation, now and to come. */
export interface Footprint {
  /** Tokens held now. */
  readonly tokens: number;
  /** Tokens of output so far. */
  readonly done: number;
  readonly maxTokens: number;
  readonly tail: Tail;
}

/**
 * Mean and variance of the memory that generations hold at each step of the
 * horizon. Generations that end free their memory.
 */
export class MemoryForecast {
  readonly mean = new Float64Array(horizonSteps.length);
  readonly variance = new Float64Array(horizonSteps.length);

  /** Adds a generation. */
  add({ tokens, done, maxTokens, tail }: Footprint): void {
    for (let index = 0; index < horizonSteps.length; index++) {
      const steps = horizonSteps[index] ?? 0;
      const runs = done + steps >= maxTokens
        ? 0
        : conditionalSurvival(tail, done, steps);
      const held = tokens + steps;
      this.mean[index] = (this.mean[index] ?? 0) + held * runs;
      this.variance[index] = (this.variance[index] ?? 0) +
        held * held * runs * (1 - runs);
    }
  }

  /** Multiplies the number of generations. */
  scale(factor: number): void {
    for (let index = 0; index < horizonSteps.length; index++) {
      this.mean[index] = (this.mean[index] ?? 0) * factor;
      this.variance[index] = (this.variance[index] ?? 0) * factor;
    }
  }

  /** Adds memory that is held throughout. */
  addConstant(tokens: number): void {
    for (let index = 0; index < horizonSteps.length; index++) {
      this.mean[index] = (this.mean[index] ?? 0) + tokens;
    }
  }

  /** Adds uncertainty about the memory held. */
  addVariance(squaredTokens: number): void {
    for (let index = 0; index < horizonSteps.length; index++) {
      this.variance[index] = (this.variance[index] ?? 0) + squaredTokens;
    }
  }

  /**
   * Returns the greatest probability of overflow while the added generation
   * probably still runs.
   */
  riskWith(added: Footprint, memoryTokens: number): number {
    const { tokens, done, maxTokens, tail } = added;
    let worst = 0;
    for (let index = 0; index < horizonSteps.length; index++) {
      const steps = horizonSteps[index] ?? 0;
      const runs = done + steps >= maxTokens
        ? 0
        : conditionalSurvival(tail, done, steps);
      if (runs < leastSurvival) {
        break;
      }
      const held = tokens + steps;
      const mean = (this.mean[index] ?? 0) + held * runs;
      const variance = (this.variance[index] ?? 0) +
        held * held * runs * (1 - runs);
      worst = Math.max(worst, exceedance(memoryTokens - mean, variance));
    }
    return worst;
  }
}

/** Probability that a normal variable exceeds its mean by the given room. */
export function exceedance(room: number, variance: number): number {
  if (variance <= 0) {
    return room >= 0 ? 0 : 1;
  }
  const z = room / Math.sqrt(variance);
  const half = upperTail(Math.abs(z));
  return z >= 0 ? half : 1 - half;
}

/** Upper tail of the standard normal distribution (Abramowitz 26.2.17). */
function upperTail(z: number): number {
  const t = 1 / (1 + 0.231_641_9 * z);
  const polynomial = t * (0.319_381_53 + t * (-0.356_563_782 +
        t * (1.781_477_937 + t * (-1.821_255_978 + t * 1.330_274_429))));
  return Math.exp(-z * z / 2) / Math.sqrt(2 * Math.PI) * polynomial;
}
