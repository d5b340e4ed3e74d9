import { minLongEvents } from "./departure_schedule.ts";

/** Generations whose lengths are remembered. */
const maxSamples = 64;

/** Fewest longer generations from which an end is predicted. */
const minSamples = 8;

/** Share of the longer generations that must have ended in time. */
const minEndedShare = 0.8;

/**
 * Numbers of events with which the latest long generations of a service ended. They
 * tell which running generations end by themselves before their engine leaves.
 */
export class FinalEvents {
  readonly #samples: number[] = [];

  /** Adds the number of events of a complete generation, if it was a long one. */
  add(events: number): void {
    if (events < minLongEvents) {
      return;
    }
    this.#samples.push(events);
    if (this.#samples.length > maxSamples) {
      this.#samples.shift();
    }
  }

  /**
   * Mean number of events with which generations end that have more than
   * `events`; `null`: too few are known.
   */
  expectedAfter(events: number): number | null {
    const longer = this.#samples.filter((final) => final > events);
    return longer.length < minSamples
      ? null
      : longer.reduce((sum, final) => sum + final, 0) / longer.length;
  }

  /** Whether a generation with `events` events ends within `more` others. */
  endsWithin(events: number, more: number): boolean {
    const longer = this.#samples.filter((final) => final > events);
    const ended = longer.filter((final) => final <= events + more);
    return longer.length >= minSamples &&
      ended.length >= minEndedShare * longer.length;
  }
}
