/** Time after which an observation counts for a third, in milliseconds. */
const memoryMs = 60_000;

/** Engine time below which nothing is said of the rate: 10 engines for 10 s. */
const minExposureMs = 100_000;

/**
 * Rate at which the engines of a service leave, learned from the store's list.
 * Older observations count less.
 */
export class LeaveRate {
  #leaves = 0;
  #exposureMs = 0;
  #observedAt: number | null = null;

  /** Records how many engines are listed; called with each list. */
  observe(engines: number, now: number): void {
    const elapsedMs = Math.max(0, now - (this.#observedAt ?? now));
    this.#observedAt = now;
    const decay = Math.exp(-elapsedMs / memoryMs);
    this.#leaves *= decay;
    this.#exposureMs = this.#exposureMs * decay + engines * elapsedMs;
  }

  /** Records that an engine leaves or is gone. */
  recordLeave(): void {
    this.#leaves += 1;
  }

  /** Departures per engine and millisecond; 0 while too little is known. */
  get perMs(): number {
    return this.#exposureMs < minExposureMs
      ? 0
      : this.#leaves / this.#exposureMs;
  }
}
