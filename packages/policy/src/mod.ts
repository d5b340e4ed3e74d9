/** Admission control, queueing and choice of upstream. */
export * from "./adaptive_dispatcher.ts";
export * from "./adaptive_options.ts";
export * from "./brittleness.ts";
export * from "./dispatcher.ts";
export * from "./dispatchers.ts";
export * from "./early_losses.ts";
export * from "./engine_reports.ts";
export * from "./least_load.ts";
export * from "./prefix_digests.ts";
export * from "./reachability.ts";
export * from "./cold_limits.ts";
export * from "./request_limits.ts";
export * from "./retry_budget.ts";
export * from "./round_robin.ts";
export * from "./slot_dispatcher.ts";
export * from "./suspect_blocks.ts";
export * from "./urgency_ranks.ts";
