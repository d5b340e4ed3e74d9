/** States of a circuit. */
export const circuitStates = {
  closed: "closed",
  open: "open",
  probing: "probing",
} as const;

/** One of the states of a circuit. */
export type CircuitState = keyof typeof circuitStates;

const failuresToOpen = 3;
const firstOpenMs = 500;
const maxOpenMs = 8_000;
const slowStartMs = 5_000;
const slowStartShare = 0.25;

/** Keeps work from an engine that fails, and starts slowly afterwards. */
export class Circuit {
  readonly reasons = new Map<string, number>();
  #failures = 0;
  #opens = 0;
  #openUntil = 0;
  #state: CircuitState = "closed";
  #closedAt = -Infinity;

  /** State at a time. */
  stateAt(now: number): CircuitState {
    if (this.#state === "open" && now >= this.#openUntil) {
      this.#state = "probing";
    }
    return this.#state;
  }

  /** Share of the engine's memory that new work may fill now. */
  allowance(now: number): number {
    const state = this.stateAt(now);
    if (state !== "closed") {
      return state === "open" ? 0 : slowStartShare;
    }
    const passed = (now - this.#closedAt) / slowStartMs;
    return Math.min(1, slowStartShare + (1 - slowStartShare) * passed);
  }

  /** Notes a success. */
  succeeded(now: number): void {
    this.#failures = 0;
    if (this.stateAt(now) === "probing") {
      this.#state = "closed";
      this.#closedAt = now;
      this.#opens = 0;
    }
  }

  /** Notes a failure and its reason. */
  failed(reason: string, now: number): void {
    this.reasons.set(reason, (this.reasons.get(reason) ?? 0) + 1);
    this.#failures += 1;
    const probing = this.stateAt(now) === "probing";
    if (probing || this.#failures >= failuresToOpen) {
      const openMs = Math.min(maxOpenMs, firstOpenMs * 2 ** this.#opens);
      this.#opens += 1;
      this.#failures = 0;
      this.#state = "open";
      this.#openUntil = now + openMs;
    }
  }
}
