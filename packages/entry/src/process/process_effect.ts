import type { Timer } from "./timers.ts";

/** Counters that the reducer increments. */
export type CounterName =
  | "requests"
  | "refusals"
  | "retries"
  | "resumes"
  | "late_tokens"
  | "tokens"
  | "calls"
  | "replays"
  | "connections_closed";

/** Histograms that the reducer observes, in milliseconds. */
export type HistogramName = "first_token" | "between_tokens" | "stall";

/** Effects on the process itself. */
export type ProcessEffect =
  | {
    readonly kind: "set_timer";
    readonly timer: Timer;
    /** Monotonic milliseconds at which the timer fires. */
    readonly at: number;
  }
  | {
    readonly kind: "count";
    readonly counter: CounterName;
    /** Value of the label, from a fixed set such as the error kinds. */
    readonly reason: string;
    readonly amount: number;
  }
  | {
    readonly kind: "observe";
    readonly histogram: HistogramName;
    readonly workClass: string;
    readonly milliseconds: number;
  }
  | {
    readonly kind: "log";
    /** Part of the program, which ends the line's prefix. */
    readonly part: "process";
    readonly sentence: string;
    readonly fields: Readonly<Record<string, string | number | boolean>>;
  }
  | {
    readonly kind: "exit";
    /** Whether to exit without waiting for responses being written. */
    readonly immediate: boolean;
  };
