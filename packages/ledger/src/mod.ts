/** Usage records, their settlement, and cost reports. */
export * from "./cost_report.ts";
export * from "./divide.ts";
export * from "./held_usage.ts";
export * from "./progress.ts";
export * from "./round_debts.ts";
export * from "./settlement.ts";
export * from "./shard.ts";
export * from "./split_history.ts";
export * from "./usage.ts";
export * from "./usage_message.ts";
export * from "./usage_meter.ts";
