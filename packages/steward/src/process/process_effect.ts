import type { TimerName } from "./process_event.ts";

/** Effects on the process itself. */
export type ProcessEffect =
  | {
    readonly kind: "set_timer";
    readonly timer: TimerName;
    /** Monotonic milliseconds. */
    readonly at: number;
  }
  | {
    readonly kind: "log";
    /** Part of the program; the last segment of the line's prefix. */
    readonly part: "operators" | "settlement" | "fleet" | "duties";
    readonly sentence: string;
    readonly fields: Readonly<Record<string, string | number>>;
  }
  | { readonly kind: "exit" };
