/** Number of answers from which a bound is computed. */
const capacity = 64;

/** Fewer answers than this say too little about the longest one. */
const minAnswers = 8;

/** Durations of one complete answer. */
export interface AnswerTime {
  /** Milliseconds from the arrival of the request to the first event. */
  readonly firstEventMs: number;
  /** Milliseconds from the first event to the end; 0 if it is no stream. */
  readonly streamMs: number;
  /** Generated tokens; 0 if it is no stream. */
  readonly tokens: number;
}

/**
 * Bounds the duration of a route's next answer by its latest ones. Streams are
 * compared by their time per token, as long ones finish last and would
 * otherwise be underrepresented.
 */
export class AnswerTimes {
  readonly #firstEventMs: number[] = [];
  readonly #msPerToken: number[] = [];

  /** Adds a complete answer. */
  add({ firstEventMs, streamMs, tokens }: AnswerTime): void {
    this.#firstEventMs.push(firstEventMs);
    this.#msPerToken.push(tokens === 0 ? 0 : streamMs / tokens);
    if (this.#firstEventMs.length > capacity) {
      this.#firstEventMs.shift();
      this.#msPerToken.shift();
    }
  }

  /**
   * Returns the milliseconds from the arrival of a request to the end of an
   * answer of at most `maxTokens` tokens; `Infinity` if too few are known.
   */
  boundMs(maxTokens: number): number {
    return this.#firstEventMs.length < minAnswers
      ? Infinity
      : Math.max(...this.#firstEventMs) +
        maxTokens * Math.max(...this.#msPerToken);
  }
}
