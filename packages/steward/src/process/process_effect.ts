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
    /** Part that logs, such as `duties` in `lavenderferry:steward:duties`. */
    readonly part: "operators" | "settlement" | "fleet" | "duties";
    readonly sentence: string;
    readonly fields: Readonly<Record<string, string | number>>;
  }
  | {
    readonly kind: "exit";
    /** Whether to exit without waiting for responses being written. */
    readonly immediate: boolean;
  };
