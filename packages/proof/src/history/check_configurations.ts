import { groupBy } from "./group_by.ts";
import type { HistoryRecord } from "./history_record.ts";
import type { Violation } from "./violation.ts";

/** Checks that the configuration version of a process never decreases. */
export function checkConfigurations(
  records: readonly HistoryRecord[],
): readonly Violation[] {
  const violations: Violation[] = [];
  const recordsByProcess = groupBy(
    records,
    "configuration_seen",
    (record) => record.process,
  );
  for (const [subject, processRecords] of recordsByProcess) {
    for (const [index, later] of processRecords.entries()) {
      const earlier = processRecords[index - 1];
      if (earlier !== undefined && later.version < earlier.version) {
        const trace = [earlier, later];
        violations.push({ kind: "configuration_reverted", subject, trace });
      }
    }
  }
  return violations;
}
