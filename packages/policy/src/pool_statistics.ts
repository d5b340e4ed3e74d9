import { PrefillRate } from "./prefill_rate.ts";
import { StepTime } from "./step_time.ts";

const decayPerChange = 0.98;

/**
 * Longest time between two samples of an engine over which their difference
 * grows; a little more than generations take. With half of it, demands that the
 * higher variance kept waiting chased the same room later, and a tenth to a
 * sixth more were rejected where memory is nearly always full.
 */
const maxDriftMs = 10_000;

/**
 * Assumed before samples are compared: a prompt of a tenth of the memory more or
 * less after a second, with the weight of a few comparisons.
 */
const prior = { fraction: 0.1, milliseconds: 1_000, weight: 3 };

/**
 * What the engines of one pool have in common. A process of a large fleet asks
 * each engine rarely, so it learns these figures from all of them together.
 */
export class PoolStatistics {
  /** Time between tokens by the number of running generations. */
  readonly stepTime = new StepTime();
  readonly prefillRate = new PrefillRate();
  /** Decayed sums of tokens, and of tokens times the time that they were held. */
  #tokenSum = 0;
  #tokenMsSum = 0;
  #squaredSum = prior.weight * prior.fraction ** 2;
  #millisecondSum = prior.weight * prior.milliseconds;

  /** Learns for how long a generation that ended has held its memory. */
  learnDuration(tokens: number, milliseconds: number): void {
    this.#tokenSum = this.#tokenSum * decayPerChange + tokens;
    this.#tokenMsSum = this.#tokenMsSum * decayPerChange +
      tokens * milliseconds;
  }

  /** Mean milliseconds for which a token of memory is held; 0: unknown. */
  get holdMs(): number {
    return this.#tokenSum <= 0 ? 0 : this.#tokenMsSum / this.#tokenSum;
  }

  /**
   * Learns by which fraction of an engine's memory that of others differs between
   * two samples.
   */
  learnDrift(fraction: number, milliseconds: number): void {
    this.#squaredSum = this.#squaredSum * decayPerChange + fraction ** 2;
    this.#millisecondSum = this.#millisecondSum * decayPerChange +
      Math.min(maxDriftMs, milliseconds);
  }

  /** Returns the variance of that fraction so long after a sample. */
  varianceAfter(milliseconds: number): number {
    return Math.min(maxDriftMs, Math.max(0, milliseconds)) * this.#squaredSum /
      this.#millisecondSum;
  }
}
