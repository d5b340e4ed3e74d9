import type { Moment } from "@lavenderferry/runtime";

/** Time without a repetition after which a service is not brittle any more. */
const retentionMs = 5_000;

/**
 * Time since the last answer that says so after which one that does not ends it.
 * Answers may overtake each other.
 */
const endDelayMs = 1_000;

/**
 * Share of the rejections that a brittle upstream bears which all processes
 * together may cause on average: they come at random, several in some seconds.
 */
const rejectionShare = 0.25;

/** Longest time for which processes keep to their shares, in milliseconds. */
const maxPauseMs = 10_000;

const millisecondsPerSecond = 1_000;

/**
 * What the upstreams of a service say of how many requests they can reject for
 * want of room without ending. A process that keeps to its shares of the slots
 * causes no rejections if the others do the same.
 */
export class Brittleness {
  /** Monotonic milliseconds until which the upstreams count as brittle. */
  #deadline = -Infinity;
  /** Monotonic milliseconds until which this process keeps to its shares. */
  #sharesUntil = -Infinity;
  /** Monotonic milliseconds from which an answer may end the brittleness. */
  #endableAt = -Infinity;
  #rejectionsPerSecond = Infinity;

  /** Rejections a second that an upstream bears, as last recorded. */
  get rejectionsPerSecond(): number {
    return this.#rejectionsPerSecond;
  }

  /** Records how many rejections a second an upstream says that it bears. */
  record(rejectionsPerSecond: number, at: Moment): void {
    this.#deadline = Math.max(this.#deadline, at.monotonic + retentionMs);
    this.#endableAt = at.monotonic + endDelayMs;
    this.#rejectionsPerSecond = rejectionsPerSecond;
  }

  /** Records an answer of an upstream that does not say that it is brittle. */
  recordRobust(at: Moment): void {
    if (at.monotonic >= this.#endableAt) {
      this.#deadline = -Infinity;
    }
  }

  /**
   * Records that a brittle upstream rejected a request. Returns the monotonic
   * milliseconds until which this process keeps to its shares. `processes` is
   * the number of those that may cause rejections.
   */
  recordRejection(
    { rejectionsPerSecond, processes }: {
      readonly rejectionsPerSecond: number;
      readonly processes: number;
    },
    at: Moment,
  ): number {
    this.record(rejectionsPerSecond, at);
    const pauseMs = processes * millisecondsPerSecond /
      (rejectionShare * rejectionsPerSecond);
    const until = at.monotonic + Math.min(maxPauseMs, pauseMs);
    this.#sharesUntil = Math.max(this.#sharesUntil, until);
    return this.#sharesUntil;
  }

  /** Whether an upstream recently said that it is brittle. */
  isBrittle(at: Moment): boolean {
    return at.monotonic < this.#deadline;
  }

  /** Whether this process keeps to its shares after a rejection. */
  keepsToShares(at: Moment): boolean {
    return at.monotonic < this.#sharesUntil;
  }
}
