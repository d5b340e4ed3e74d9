/** What the circuit allows. */
export const circuitStates = {
  closed: "closed",
  open: "open",
  halfOpen: "half_open",
} as const;

/** One of the states of a circuit. */
export type CircuitState = (typeof circuitStates)[keyof typeof circuitStates];

/** Failures in a row that open the circuit. */
export const failuresToOpen = 5;

/** Milliseconds for which the circuit first opens; they double. */
export const openMs = 250;

/** Milliseconds for which the circuit opens at most. */
export const longestOpenMs = 2_000;

/** Share by which the time until a probe varies between processes. */
const jitterShare = 0.5;

/** Milliseconds after a recovery in which the load grows to its full. */
export const rampMs = 2_000;

/** Fails fast while a store is down, and returns to it gently. */
export class Circuit {
  readonly #fraction: () => number;
  #state: CircuitState = circuitStates.closed;
  #failures = 0;
  #openings = 0;
  #probeAt = 0;
  #closedAt = -Infinity;

  /** The function returns random numbers from 0 to below 1. */
  constructor(fraction: () => number) {
    this.#fraction = fraction;
  }

  /** The present state. */
  get state(): CircuitState {
    return this.#state;
  }

  /** Returns whether an operation may be sent now. */
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

  /** Milliseconds until a try is useful. */
  waitMs(now: number): number {
    return Math.max(0, this.#probeAt - now);
  }

  /** Share of the full concurrency that is in order now. */
  share(now: number): number {
    return Math.min(1, Math.max(0, now - this.#closedAt) / rampMs);
  }

  /** Notes that the store answered. */
  succeeded(now: number): void {
    if (this.#state !== circuitStates.closed) {
      this.#closedAt = now;
    }
    this.#state = circuitStates.closed;
    this.#failures = 0;
    this.#openings = 0;
  }

  /** Notes that the store did not answer, or refused. */
  failed(now: number): void {
    this.#failures += 1;
    const probed = this.#state === circuitStates.halfOpen;
    if (!probed && this.#failures < failuresToOpen) {
      return;
    }
    if (this.#state === circuitStates.open) {
      return;
    }
    this.#state = circuitStates.open;
    const base = Math.min(longestOpenMs, openMs * 2 ** this.#openings);
    const factor = 1 - jitterShare * this.#fraction();
    this.#probeAt = now + base * factor;
    this.#openings += 1;
  }
}
