import { groupBy } from "./group_by.ts";
import type { HistoryRecord } from "./history_record.ts";
import type { Violation } from "./violation.ts";

/** Checks that no process states an older version than before. */
export function checkConfigurations(
  records: readonly HistoryRecord[],
): readonly Violation[] {
  const violations: Violation[] = [];
  const seen = groupBy(records, "configuration_seen", (each) => each.process);
  for (const [subject, versions] of seen) {
    for (const [index, later] of versions.entries()) {
      const earlier = versions[index - 1];
      if (earlier !== undefined && later.version < earlier.version) {
        const trace = [earlier, later];
        violations.push({ kind: "configuration_reverted", subject, trace });
      }
    }
  }
  return violations;
}
