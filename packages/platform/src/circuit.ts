/**
 * States of a circuit breaker: `closed` admits every operation, `open` none
 * until a probe is due, and `half_open` none until the probe has a result.
 */
export const circuitStates = {
  closed: "closed",
  open: "open",
  halfOpen: "half_open",
} as const;

/** A value of `circuitStates`. */
export type CircuitState = (typeof circuitStates)[keyof typeof circuitStates];

/** Consecutive failures that open the circuit. */
export const failuresToOpen = 5;

/**
 * Milliseconds for which the circuit first stays open, less the jitter; they
 * double with every failed probe.
 */
export const firstOpenMs = 250;

/** Default of the longest time for which the circuit stays open. */
export const maxOpenMs = 2_000;

/**
 * Largest share by which the time until a probe is shortened at random, so that
 * processes do not probe all at once.
 */
const jitterShare = 0.5;

/** Milliseconds after an outage until the concurrency is at its limit again. */
export const rampMs = 2_000;

/**
 * Circuit breaker for a store: refuses operations while the store is down and
 * raises the concurrency gradually after it has recovered. Times are monotonic
 * and in milliseconds.
 */
export class Circuit {
  readonly #fraction: () => number;
  readonly #maxOpenMs: number;
  #state: CircuitState = circuitStates.closed;
  #failures = 0;
  #openings = 0;
  #probeAt = 0;
  #closedAt = -Infinity;

  /** Expects a source of random numbers from 0 up to, but not including, 1. */
  constructor(fraction: () => number, longestOpenMs = maxOpenMs) {
    this.#fraction = fraction;
    this.#maxOpenMs = longestOpenMs;
  }

  /** State; an open circuit stays `open` until `allow` admits a probe. */
  get state(): CircuitState {
    return this.#state;
  }

  /** Returns whether an operation may be sent now, if only as the probe. */
  allow(now: number): boolean {
    if (this.#state === circuitStates.closed) {
      return true;
    }
    if (this.#state === circuitStates.open && now >= this.#probeAt) {
      this.#state = circuitStates.halfOpen;
      return true;
    }
    return false;
  }

  /** Returns the milliseconds until a probe is due. */
  waitMs(now: number): number {
    return Math.max(0, this.#probeAt - now);
  }

  /** Returns the share, from 0 to 1, of the concurrency limit to use now. */
  concurrencyShare(now: number): number {
    return Math.min(1, Math.max(0, now - this.#closedAt) / rampMs);
  }

  /** Records an answer of the store, and closes the circuit. */
  recordSuccess(now: number): void {
    if (this.#state !== circuitStates.closed) {
      this.#closedAt = now;
    }
    this.#state = circuitStates.closed;
    this.#failures = 0;
    this.#openings = 0;
  }

  /** Records a missing answer or a refusal; may open the circuit. */
  recordFailure(now: number): void {
    this.#failures += 1;
    const wasProbe = this.#state === circuitStates.halfOpen;
    if (!wasProbe && this.#failures < failuresToOpen) {
      return;
    }
    if (this.#state === circuitStates.open) {
      return;
    }
    this.#state = circuitStates.open;
    const baseMs = Math.min(this.#maxOpenMs, firstOpenMs * 2 ** this.#openings);
    const jitterFactor = 1 - jitterShare * this.#fraction();
    this.#probeAt = now + baseMs * jitterFactor;
    this.#openings += 1;
  }
}
