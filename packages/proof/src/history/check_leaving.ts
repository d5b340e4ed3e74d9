import { groupBy } from "./group_by.ts";
import type { HistoryRecord } from "./history_record.ts";
import type { Violation } from "./violation.ts";

/** Checks that no work starts at a leaving upstream after `closedFrom`. */
export function checkLeaving(
  records: readonly HistoryRecord[],
): readonly Violation[] {
  const startsByUpstream = groupBy(
    records,
    "work_started",
    (start) => start.upstream,
  );
  const violations: Violation[] = [];
  for (const record of records) {
    if (record.kind !== "upstream_leaving") {
      continue;
    }
    const lateStart = startsByUpstream.get(record.upstream)?.find(({ at }) =>
      at > record.closedFrom
    );
    if (lateStart !== undefined) {
      const subject = record.upstream;
      const trace = [record, lateStart];
      violations.push({ kind: "work_on_leaving", subject, trace });
    }
  }
  return violations;
}
