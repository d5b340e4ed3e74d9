import { groupBy } from "./group_by.ts";
import type { HistoryRecord } from "./history_record.ts";
import type { Violation } from "./violation.ts";

/** Checks that no work starts at an upstream after it is closed. */
export function checkLeaving(
  records: readonly HistoryRecord[],
): readonly Violation[] {
  const started = groupBy(records, "work_started", (each) => each.upstream);
  const violations: Violation[] = [];
  for (const record of records) {
    if (record.kind !== "upstream_leaving") {
      continue;
    }
    const late = started.get(record.upstream)?.find(({ at }) =>
      at > record.closedFrom
    );
    if (late !== undefined) {
      const subject = record.upstream;
      const trace = [record, late];
      violations.push({ kind: "work_on_leaving", subject, trace });
    }
  }
  return violations;
}
