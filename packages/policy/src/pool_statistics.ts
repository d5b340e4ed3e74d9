import { StepTime } from "./step_time.ts";

const decayPerChange = 0.98;

/**
 * Longest time between two samples of an engine over which their difference
 * grows. After that most generations have ended and others have begun.
 */
const maxDriftMs = 5_000;

/**
 * What the engines of one pool have in common. A process of a large fleet asks
 * each engine rarely, so it learns these figures from all of them together.
 */
export class PoolStatistics {
  /** Time between tokens by the number of running generations. */
  readonly stepTime = new StepTime();
  #squaredSum = 0;
  #millisecondSum = 0;

  /** Learns by how much others' memory differs between two samples. */
  learnDrift(tokens: number, milliseconds: number): void {
    this.#squaredSum = this.#squaredSum * decayPerChange + tokens ** 2;
    this.#millisecondSum = this.#millisecondSum * decayPerChange +
      Math.min(maxDriftMs, milliseconds);
  }

  /** Returns the variance of others' memory that long after a sample. */
  varianceAfter(milliseconds: number): number {
    return this.#millisecondSum <= 0
      ? 0
      : Math.min(maxDriftMs, Math.max(0, milliseconds)) * this.#squaredSum /
        this.#millisecondSum;
  }
}
