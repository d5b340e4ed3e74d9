/**
 * Process harness, history checker, integration tests and fault schedules. The
 * harness and the checker are exported for benchmarks and the quickstart.
 */
export * from "./harness/caller.ts";
export * from "./harness/eventually.ts";
export * from "./harness/operator.ts";
export * from "./harness/program.ts";
export * from "./harness/restartable_program.ts";
export * from "./harness/sample_statement.ts";
export * from "./harness/system.ts";
export * from "./history/check_history.ts";
export * from "./history/history_record.ts";
export * from "./history/violation.ts";
