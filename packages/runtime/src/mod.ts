/** Reducer loop, clocks, logs and random numbers that all programs share. */
export * from "./chunk_buffer.ts";
export * from "./clock.ts";
export * from "./connection_guard.ts";
export * from "./decision_log.ts";
export * from "./decisions.ts";
export * from "./end_process.ts";
export * from "./hash_text.ts";
export * from "./head_bytes.ts";
export * from "./logger.ts";
export * from "./loop.ts";
export * from "./process.ts";
export * from "./random.ts";
export * from "./rank_by_rendezvous.ts";
export * from "./socket_deadline.ts";
export * from "./steps.ts";
export * from "./timer_handlers.ts";
