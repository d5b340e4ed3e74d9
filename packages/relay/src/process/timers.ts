/** Timers of the relay; those of a request carry its exchange id. */
export type TimerName =
  | { readonly kind: "exchange" }
  | { readonly kind: "pump_backlog" }
  | { readonly kind: "follow_upstreams" }
  | { readonly kind: "follow_routing" }
  | { readonly kind: "list_members" }
  | { readonly kind: "state_member" }
  | { readonly kind: "confirm_removals" }
  | { readonly kind: "request_deadline"; readonly exchangeId: string }
  | { readonly kind: "evacuate"; readonly exchangeId: string }
  | { readonly kind: "resume_again"; readonly exchangeId: string }
  | { readonly kind: "check_stop" };

/** Milliseconds between two runs of the periodic timers. */
export const timerPeriodsMs = {
  /** Checks which exchanges are due; each link has its own period. */
  exchange: 100,
  /** Limits how late a queued request is sent or refused. */
  pump_backlog: 25,
  /**
   * Members are learned from exchanges; their rows serve a process that knows
   * no peer yet.
   */
  list_members: 15_000,
  /** Limits how late the process exits after its last request. */
  check_stop: 100,
} as const;
