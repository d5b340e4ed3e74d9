const decayPerObservation = 0.98;
const initialStepMs = 20;
const minSlopeMs = 0;
/**
 * Ratio to the expected time above which a gap is a preemption or a network
 * stall.
 */
const outlierRatio = 4;

/**
 * Estimates an engine's time between tokens as a linear function of its running
 * generations, by exponentially weighted least squares.
 */
export class StepTime {
  #weightSum = 0;
  #runningSum = 0;
  #timeSumMs = 0;
  #runningSquaredSum = 0;
  #productSum = 0;

  /** Adds an observed time between tokens; outliers are ignored. */
  observe(running: number, milliseconds: number): void {
    if (milliseconds > outlierRatio * this.expectedMs(running)) {
      return;
    }
    this.#weightSum = this.#weightSum * decayPerObservation + 1;
    this.#runningSum = this.#runningSum * decayPerObservation + running;
    this.#timeSumMs = this.#timeSumMs * decayPerObservation + milliseconds;
    this.#runningSquaredSum = this.#runningSquaredSum * decayPerObservation +
      running * running;
    this.#productSum = this.#productSum * decayPerObservation +
      running * milliseconds;
  }

  /** Returns the expected milliseconds between tokens. */
  expectedMs(running: number): number {
    if (this.#weightSum < 1) {
      return initialStepMs;
    }
    const meanRunning = this.#runningSum / this.#weightSum;
    const meanMs = this.#timeSumMs / this.#weightSum;
    const variance = this.#runningSquaredSum / this.#weightSum -
      meanRunning ** 2;
    const covariance = this.#productSum / this.#weightSum -
      meanRunning * meanMs;
    const slopeMs = variance < 1
      ? minSlopeMs
      : Math.max(minSlopeMs, covariance / variance);
    return Math.max(1, meanMs + slopeMs * (running - meanRunning));
  }
}
