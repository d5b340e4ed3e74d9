import { groupBy } from "./group_by.ts";
import type { HistoryRecord, RecordOf } from "./history_record.ts";
import type { Violation } from "./violation.ts";

type Cost = RecordOf<"cost_arose"> | RecordOf<"cost_charged">;

/** Checks that what was charged is what arose, by class and unit. */
export function checkCosts(
  records: readonly HistoryRecord[],
): readonly Violation[] {
  const arose = groupBy(records, "cost_arose", nameOf);
  const charged = groupBy(records, "cost_charged", nameOf);
  const subjects = new Set([...arose.keys(), ...charged.keys()]);
  return [...subjects].flatMap((subject) => {
    const before = arose.get(subject) ?? [];
    const after = charged.get(subject) ?? [];
    const difference = sum(after) - sum(before);
    if (difference === 0) {
      return [];
    }
    const kind = difference < 0 ? "cost_lost" : "cost_doubled";
    return [{ kind, subject, trace: [...before, ...after] } as const];
  });
}

function nameOf({ workClass, unit }: Cost): string {
  return `${workClass}/${unit}`;
}

function sum(records: readonly Cost[]): number {
  return records.reduce((total, { amount }) => total + amount, 0);
}
