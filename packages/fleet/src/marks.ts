import type { Moment } from "@lavenderferry/runtime";

/** Why an upstream takes no new work. */
export const markReasons = {
  draining: "draining",
  leaving: "leaving",
} as const;

/** One of the reasons of a mark. */
export type MarkReason = keyof typeof markReasons;

/** An upstream that takes no new work, as one process learned first-hand. */
export interface Mark {
  readonly upstream: string;
  readonly reason: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Milliseconds after which the VM list may contradict a mark. */
export const markMs = 30_000;

/** Marks that a process keeps at most. */
export const maxMarks = 1_024;

/** The marks in force, each with the deadline until which it stands. */
export class Marks {
  readonly #marks = new Map<string, { mark: Mark; deadline: number }>();

  /** All marks in force. */
  all(): readonly Mark[] {
    return [...this.#marks.values()].map(({ mark }) => mark);
  }

  /** Returns the mark of an upstream. */
  get(upstream: string): Mark | undefined {
    return this.#marks.get(upstream)?.mark;
  }

  /** Takes a mark; returns whether the upstream had none. */
  learn(mark: Mark, at: Moment): boolean {
    const known = this.#marks.has(mark.upstream);
    const age = Math.max(0, at.wall - mark.at);
    if (known || age >= markMs || this.#marks.size >= maxMarks) {
      return false;
    }
    const deadline = at.monotonic + markMs - age;
    this.#marks.set(mark.upstream, { mark, deadline });
    return true;
  }

  /**
   * Drops the marks whose deadline has passed. Called with every VM list read,
   * which then says whether the upstream is live; with the list down, marks
   * stay.
   */
  settle(at: Moment): readonly string[] {
    const dropped: string[] = [];
    for (const [upstream, { deadline }] of this.#marks) {
      if (at.monotonic >= deadline) {
        this.#marks.delete(upstream);
        dropped.push(upstream);
      }
    }
    return dropped;
  }
}
