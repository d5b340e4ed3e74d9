/** A timer of the relay; that of a request carries its exchange id. */
export type RelayTimer =
  | { readonly kind: "exchange" }
  | { readonly kind: "release_backlogs" }
  | { readonly kind: "follow_upstreams"; readonly dueAt: number }
  | { readonly kind: "follow_routing"; readonly dueAt: number }
  | { readonly kind: "list_members" }
  | { readonly kind: "state_member" }
  | { readonly kind: "read_suspects" }
  | { readonly kind: "state_suspects" }
  | { readonly kind: "confirm_removals" }
  | { readonly kind: "request_deadline"; readonly exchangeId: string }
  | {
    readonly kind: "place_pending";
    readonly exchangeId: string;
    readonly dueAt: number;
  }
  | { readonly kind: "refuse_unconfirmed"; readonly exchangeId: string }
  | { readonly kind: "depart"; readonly exchangeId: string }
  | { readonly kind: "retry_resumption"; readonly exchangeId: string }
  | { readonly kind: "retry_stop"; readonly key: string }
  | { readonly kind: "check_engine"; readonly upstream: string }
  | { readonly kind: "probe_upstreams" }
  | { readonly kind: "check_stop" };

/** Milliseconds between two runs of the periodic timers. */
export const timerPeriodsMs = {
  /** Shortest time between two checks which exchanges are due. */
  exchange: 100,
  /** Limits how late a queued request is sent or refused, while there is one. */
  release_backlogs: 25,
  /**
   * Members are learned from exchanges; their rows serve a process that knows
   * no peer yet.
   */
  list_members: 15_000,
  /** Limits how late the process exits after its last request. */
  check_stop: 100,
} as const;
