/** States of a circuit breaker. */
export const circuitStates = {
  closed: "closed",
  open: "open",
  halfOpen: "halfOpen",
} as const;

/** One of the states in `circuitStates`. */
export type CircuitState = keyof typeof circuitStates;

const failuresToOpen = 3;
const firstOpenMs = 500;
const maxOpenMs = 8_000;
const slowStartMs = 5_000;
/** Allowance at the beginning of the slow start. */
const slowStartShare = 0.25;

/** Circuit breaker of one engine, with a slow start after recovery. */
export class Circuit {
  readonly failuresByReason = new Map<string, number>();
  #consecutiveFailures = 0;
  #consecutiveOpens = 0;
  #openUntil = 0;
  #state: CircuitState = "closed";
  #closedAt = -Infinity;

  /** Returns the state at a time in monotonic milliseconds. */
  stateAt(now: number): CircuitState {
    if (this.#state === "open" && now >= this.#openUntil) {
      this.#state = "halfOpen";
    }
    return this.#state;
  }

  /** Returns the share of the capacity that may be used, from 0 to 1. */
  allowanceAt(now: number): number {
    const state = this.stateAt(now);
    if (state !== "closed") {
      return state === "open" ? 0 : slowStartShare;
    }
    const rampProgress = (now - this.#closedAt) / slowStartMs;
    return Math.min(1, slowStartShare + (1 - slowStartShare) * rampProgress);
  }

  /** Resets the failure count; closes the circuit if it was half open. */
  recordSuccess(now: number): void {
    this.#consecutiveFailures = 0;
    if (this.stateAt(now) === "halfOpen") {
      this.#state = "closed";
      this.#closedAt = now;
      this.#consecutiveOpens = 0;
    }
  }

  /** Counts a failure; repeated failures open the circuit. */
  recordFailure(reason: string, now: number): void {
    this.failuresByReason.set(
      reason,
      (this.failuresByReason.get(reason) ?? 0) + 1,
    );
    this.#consecutiveFailures += 1;
    const wasHalfOpen = this.stateAt(now) === "halfOpen";
    if (wasHalfOpen || this.#consecutiveFailures >= failuresToOpen) {
      const openMs = Math.min(
        maxOpenMs,
        firstOpenMs * 2 ** this.#consecutiveOpens,
      );
      this.#consecutiveOpens += 1;
      this.#consecutiveFailures = 0;
      this.#state = "open";
      this.#openUntil = now + openMs;
    }
  }
}
