/** Schemas, versions, storage and comparison of the configuration. */
export * from "./configuration.ts";
export * from "./configuration_store.ts";
export * from "./diff_statements.ts";
export * from "./timeline.ts";
export * from "./version_history.ts";
