/** Milliseconds per prompt token until a generation has been observed. */
const initialMsPerToken = 0.1;

/** Weight in tokens of the initial rate, as much as some long prompts. */
const initialWeightTokens = 10_000;

const decayPerObservation = 0.98;

/**
 * Estimates how long an engine takes for each prompt token that must be processed
 * before the first token of a generation, those of requests ahead included.
 */
export class PrefillRate {
  #millisecondSum = initialMsPerToken * initialWeightTokens;
  #tokenSum = initialWeightTokens;

  /** Learns the time to the first token of one generation. */
  observe(tokens: number, milliseconds: number): void {
    this.#tokenSum = this.#tokenSum * decayPerObservation + tokens;
    this.#millisecondSum = this.#millisecondSum * decayPerObservation +
      milliseconds;
  }

  /** Returns the milliseconds that prompt tokens take. */
  msFor(tokens: number): number {
    return tokens * this.#millisecondSum / this.#tokenSum;
  }
}
