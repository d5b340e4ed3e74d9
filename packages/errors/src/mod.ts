/** The kinds of errors, and the answer to a caller for each. */
export * from "./error_kinds.ts";
export * from "./failure.ts";
export * from "./final_status.ts";
export * from "./problem.ts";
