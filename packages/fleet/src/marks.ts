import type { Moment } from "@lavenderferry/runtime";

/** The reasons why an upstream takes no new work. */
export const markReasons = {
  draining: "draining",
  leaving: "leaving",
} as const;

/** A value of `markReasons`. */
export type MarkReason = keyof typeof markReasons;

/** An upstream that takes no new work, as one process observed directly. */
export interface Mark {
  readonly upstream: string;
  readonly reason: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Time after which the VM list, which lags, overrides a mark. */
export const markRetentionMs = 30_000;

/** Maximum number of marks that a process keeps. */
export const maxMarks = 1_024;

/** The marks in force, each with the deadline until which it is kept. */
export class Marks {
  readonly #marks = new Map<string, { mark: Mark; deadline: number }>();

  /** Returns all marks in force. */
  all(): readonly Mark[] {
    return [...this.#marks.values()].map(({ mark }) => mark);
  }

  /** Returns the mark of an upstream. */
  get(upstream: string): Mark | undefined {
    return this.#marks.get(upstream)?.mark;
  }

  /** Adds a mark; returns `false` if it is known, too old or over the limit. */
  add(mark: Mark, at: Moment): boolean {
    const known = this.#marks.has(mark.upstream);
    const ageMs = Math.max(0, at.wall - mark.at);
    if (known || ageMs >= markRetentionMs || this.#marks.size >= maxMarks) {
      return false;
    }
    const deadline = at.monotonic + markRetentionMs - ageMs;
    this.#marks.set(mark.upstream, { mark, deadline });
    return true;
  }

  /**
   * Removes the marks whose deadlines have passed and returns their upstreams.
   * It is called after each read of the VM list, which then decides whether the
   * upstream is live; while the list cannot be read, marks stay.
   */
  removeExpired(at: Moment): readonly string[] {
    const removed: string[] = [];
    for (const [upstream, { deadline }] of this.#marks) {
      if (at.monotonic >= deadline) {
        this.#marks.delete(upstream);
        removed.push(upstream);
      }
    }
    return removed;
  }
}
