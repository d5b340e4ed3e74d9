/** A point in time on both of a process's clocks. */
export interface Moment {
  /** Milliseconds since the process started; never goes backwards. */
  readonly monotonic: number;
  /** Milliseconds since the Unix epoch; may be adjusted in both directions. */
  readonly wall: number;
}

/** A source of the current time; tests pass one of their own. */
export interface Clock {
  now(): Moment;
}

/** The clocks of the running process. */
export const systemClock: Clock = {
  now: () => ({ monotonic: performance.now(), wall: Date.now() }),
};
