/** Runs in a row that ended with their connections before that is expected. */
const minEndedRuns = 3;

/**
 * What engines were seen to do with a run whose connection is closed. Most end it;
 * some work on. It is a hint: one engine may do either.
 */
export class CloseEffects {
  /** Runs in a row that ended, by upstream id; `-Infinity` after one that did not. */
  readonly #endedRuns = new Map<string, number>();

  /** Records a run that its engine no longer ran after the close. */
  recordEnded(upstream: string): void {
    this.#endedRuns.set(upstream, (this.#endedRuns.get(upstream) ?? 0) + 1);
  }

  /** Records a run that its engine went on with after the close. */
  recordOngoing(upstream: string): void {
    this.#endedRuns.set(upstream, -Infinity);
  }

  /** Whether an engine is expected to end runs with their connections. */
  endsRuns(upstream: string): boolean {
    return (this.#endedRuns.get(upstream) ?? 0) >= minEndedRuns;
  }

  /** Forgets an upstream that has ended. */
  forget(upstream: string): void {
    this.#endedRuns.delete(upstream);
  }
}
