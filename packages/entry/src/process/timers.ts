/** Timers of the entry; some carry the id of their generation or call. */
export type Timer =
  | { readonly kind: "list_vms" }
  | { readonly kind: "poll_configuration" }
  | { readonly kind: "exchange" }
  | { readonly kind: "poll_load" }
  | { readonly kind: "poll_cache" }
  | { readonly kind: "flush_usage" }
  | { readonly kind: "release_backlog" }
  | { readonly kind: "retry_generation"; readonly generationId: string }
  | { readonly kind: "cancel_orphan"; readonly generationId: string }
  | { readonly kind: "retry_take_over"; readonly generationId: string }
  | { readonly kind: "check_progress" }
  | { readonly kind: "end_open_requests" }
  | { readonly kind: "force_exit" }
  | { readonly kind: "retry_commit"; readonly callId: string }
  | { readonly kind: "hand_over_streams" };

/** Milliseconds between two runs of each periodic timer. */
export const timerPeriodsMs = {
  list_vms: 1_000,
  poll_configuration: 30_000,
  exchange: 100,
  poll_load: 250,
  poll_cache: 500,
  flush_usage: 1_000,
  release_backlog: 50,
  check_progress: 250,
} as const;
