import { checkCalls } from "./check_calls.ts";
import { checkConfigurations } from "./check_configurations.ts";
import { checkCosts } from "./check_costs.ts";
import { checkLeaving } from "./check_leaving.ts";
import { checkStreams } from "./check_streams.ts";
import type { HistoryRecord } from "./history_record.ts";
import type { Violation } from "./violation.ts";

const checks: readonly ((
  records: readonly HistoryRecord[],
) => readonly Violation[])[] = [
  checkStreams,
  checkCalls,
  checkConfigurations,
  checkCosts,
  checkLeaving,
];

/**
 * Returns every violation in a history. The records of each process must be in
 * the order in which they were made.
 */
export function checkHistory(
  records: readonly HistoryRecord[],
): readonly Violation[] {
  return checks.flatMap((check) => check(records));
}
