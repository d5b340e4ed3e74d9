import type { StoreVersion } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";

/** The reasons why an upstream takes no new work. */
export const markReasons = {
  /** The upstream itself reports it. */
  draining: "draining",
  /** The platform's list reports it. */
  leaving: "leaving",
  /** The platform's list no longer contains the upstream. */
  gone: "gone",
} as const;

/** A value of `markReasons`. */
export type MarkReason = keyof typeof markReasons;

/** An upstream that takes no new work, as one process observed directly. */
export interface Mark {
  readonly upstream: string;
  readonly reason: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
  /**
   * Version of the platform's list to which the observation belongs: of the row
   * that says so, or of the list that lacks the upstream. 0: not known.
   */
  readonly version: StoreVersion;
}

/** Time after which the VM list, which lags, overrides a mark. */
export const markRetentionMs = 30_000;

/** Maximum number of marks that a process keeps. */
export const maxMarks = 1_024;

/** The latest mark of each upstream, with the deadline until which it is kept. */
export class Marks {
  readonly #marks = new Map<string, { mark: Mark; deadline: number }>();
  #listVersion: StoreVersion = 0;

  /** Version of the newest VM list that was read; 0 if it counts none. */
  get listVersion(): StoreVersion {
    return this.#listVersion;
  }

  /** Returns all marks in force. */
  all(): readonly Mark[] {
    return [...this.#marks.values()].map(({ mark }) => mark);
  }

  /** Returns the mark of an upstream. */
  get(upstream: string): Mark | undefined {
    return this.#marks.get(upstream)?.mark;
  }

  /**
   * Adds a mark, or replaces one of an older version. Returns `false` for a mark
   * that is not newer, is over the limit, or is so old that the list, which has
   * reached its version, overrides it.
   */
  add(mark: Mark, at: Moment): boolean {
    const known = this.#marks.get(mark.upstream)?.mark;
    const ageMs = Math.max(0, at.wall - mark.at);
    const isOverridden = ageMs >= markRetentionMs &&
      mark.version <= this.#listVersion;
    const isOverLimit = known === undefined && this.#marks.size >= maxMarks;
    const isKnown = known !== undefined && mark.version <= known.version;
    if (isKnown || isOverridden || isOverLimit) {
      return false;
    }
    const deadline = at.monotonic + markRetentionMs - ageMs;
    this.#marks.set(mark.upstream, { mark, deadline });
    return true;
  }

  /** Extends the deadline of a mark that was observed again. */
  renew({ upstream, reason, version }: Mark, at: Moment): void {
    const known = this.#marks.get(upstream);
    if (known?.mark.reason === reason && known.mark.version === version) {
      known.deadline = at.monotonic + markRetentionMs;
    }
  }

  /**
   * Removes the marks whose deadlines have passed and whose versions a read of
   * the VM list has reached, as the list then decides. While the list cannot be
   * read, marks stay.
   */
  removeExpired(at: Moment, listVersion = 0): readonly string[] {
    this.#listVersion = Math.max(this.#listVersion, listVersion);
    const removed: string[] = [];
    for (const [upstream, { mark, deadline }] of this.#marks) {
      if (at.monotonic >= deadline && mark.version <= this.#listVersion) {
        this.#marks.delete(upstream);
        removed.push(upstream);
      }
    }
    return removed;
  }
}
