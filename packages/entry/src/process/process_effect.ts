import type { TimerName } from "./timers.ts";

/** Counters that the reducer raises. */
export type CounterName =
  | "requests"
  | "refusals"
  | "retries"
  | "resumes"
  | "late_tokens"
  | "tokens"
  | "calls"
  | "replays";

/** Histograms that the reducer feeds, in milliseconds. */
export type HistogramName = "first_token" | "between_tokens" | "stall";

/** Effects on the process itself. */
export type ProcessEffect =
  | {
    readonly kind: "set_timer";
    readonly timer: TimerName;
    /** Monotonic milliseconds. */
    readonly at: number;
  }
  | {
    readonly kind: "count";
    readonly counter: CounterName;
    /** Name of a closed list, such as an error kind. */
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
    /** Part of the program, the last word of the prefix. */
    readonly part: "process";
    readonly sentence: string;
    readonly fields: Readonly<Record<string, string | number | boolean>>;
  }
  | {
    readonly kind: "exit";
    /** Does not wait for responses that are being written. */
    readonly now: boolean;
  };
