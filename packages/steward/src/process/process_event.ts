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
  | { readonly kind: "stop_requested" };
