/** Names of the steward's timers; `force_exit` alone is not periodic. */
export type TimerName =
  | "list_vms"
  | "poll_configuration"
  | "exchange"
  | "settle"
  | "force_exit";

/** Events of the process itself. */
export type ProcessEvent =
  | { readonly kind: "started" }
  | { readonly kind: "timer_fired"; readonly timer: TimerName }
  | {
    /** A peer asked for a planned stop. */
    readonly kind: "stop_requested";
  }
  | {
    /** A signal asked for a planned stop, or for its end if it is the second. */
    readonly kind: "stop_signalled";
  };
