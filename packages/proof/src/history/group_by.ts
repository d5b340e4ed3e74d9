import type { HistoryRecord, RecordKind, RecordOf } from "./history_record.ts";

/** Groups the records of one kind by a key and keeps their order. */
export function groupBy<Kind extends RecordKind>(
  records: readonly HistoryRecord[],
  kind: Kind,
  keyOf: (record: RecordOf<Kind>) => string,
): ReadonlyMap<string, readonly RecordOf<Kind>[]> {
  const groups = new Map<string, RecordOf<Kind>[]>();
  for (const record of records) {
    if (record.kind !== kind) {
      continue;
    }
    const match = record as RecordOf<Kind>;
    const key = keyOf(match);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [match]);
    } else {
      group.push(match);
    }
  }
  return groups;
}
