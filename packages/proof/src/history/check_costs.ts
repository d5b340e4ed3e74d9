import { groupBy } from "./group_by.ts";
import type { HistoryRecord, RecordOf } from "./history_record.ts";
import type { Violation } from "./violation.ts";

type CostRecord = RecordOf<"cost_arose"> | RecordOf<"cost_charged">;

/** Checks per class and unit that the charged cost equals the incurred cost. */
export function checkCosts(
  records: readonly HistoryRecord[],
): readonly Violation[] {
  const incurredBySubject = groupBy(records, "cost_arose", subjectOf);
  const chargedBySubject = groupBy(records, "cost_charged", subjectOf);
  const subjects = new Set([
    ...incurredBySubject.keys(),
    ...chargedBySubject.keys(),
  ]);
  return [...subjects].flatMap((subject) => {
    const incurred = incurredBySubject.get(subject) ?? [];
    const charged = chargedBySubject.get(subject) ?? [];
    const difference = totalAmount(charged) - totalAmount(incurred);
    if (difference === 0) {
      return [];
    }
    const kind = difference < 0 ? "cost_lost" : "cost_doubled";
    return [{ kind, subject, trace: [...incurred, ...charged] } as const];
  });
}

function subjectOf({ workClass, unit }: CostRecord): string {
  return `${workClass}/${unit}`;
}

function totalAmount(records: readonly CostRecord[]): number {
  return records.reduce((total, { amount }) => total + amount, 0);
}
