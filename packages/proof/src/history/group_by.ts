import type { HistoryRecord, RecordKind, RecordOf } from "./history_record.ts";

/** Groups the records of one kind by a name, in their order. */
export function groupBy<Kind extends RecordKind>(
  records: readonly HistoryRecord[],
  kind: Kind,
  nameOf: (record: RecordOf<Kind>) => string,
): ReadonlyMap<string, readonly RecordOf<Kind>[]> {
  const groups = new Map<string, RecordOf<Kind>[]>();
  for (const record of records) {
    if (record.kind !== kind) {
      continue;
    }
    const found = record as RecordOf<Kind>;
    const name = nameOf(found);
    const group = groups.get(name);
    if (group === undefined) {
      groups.set(name, [found]);
    } else {
      group.push(found);
    }
  }
  return groups;
}
