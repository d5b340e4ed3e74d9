/** Names of the relay's timers; some carry what they wait for. */
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
export const timerPeriods = {
  /** Finds exchanges that are due; links have periods of their own. */
  exchange: 100,
  /** Bounds how late a waiting request is sent or refused. */
  pump_backlog: 25,
  /** Members are told by exchanges; rows only help who knows nobody. */
  list_members: 15_000,
  /** Bounds how late the process ends after its last request. */
  check_stop: 100,
} as const;
