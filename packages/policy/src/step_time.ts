const decay = 0.98;
const initialMs = 20;
const minSlopeMs = 0;
/** Longer gaps are preemptions or stalls of the network. */
const maxTimes = 4;

/**
 * Learns how long an engine takes between two tokens as a line over the
 * generations that run, by decaying least squares.
 */
export class StepTime {
  #weight = 0;
  #count = 0;
  #time = 0;
  #countSquared = 0;
  #product = 0;

  /** Takes one observed time between tokens. */
  observe(running: number, milliseconds: number): void {
    if (milliseconds > maxTimes * this.expected(running)) {
      return;
    }
    this.#weight = this.#weight * decay + 1;
    this.#count = this.#count * decay + running;
    this.#time = this.#time * decay + milliseconds;
    this.#countSquared = this.#countSquared * decay + running * running;
    this.#product = this.#product * decay + running * milliseconds;
  }

  /** Returns the expected time between tokens. */
  expected(running: number): number {
    if (this.#weight < 1) {
      return initialMs;
    }
    const meanCount = this.#count / this.#weight;
    const meanTime = this.#time / this.#weight;
    const spread = this.#countSquared / this.#weight - meanCount ** 2;
    const joint = this.#product / this.#weight - meanCount * meanTime;
    const slope = spread < 1
      ? minSlopeMs
      : Math.max(minSlopeMs, joint / spread);
    return Math.max(1, meanTime + slope * (running - meanCount));
  }
}
