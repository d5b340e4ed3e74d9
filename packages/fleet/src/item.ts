import type {
  DrainingMark,
  DutyRecord,
  EngineShare,
  LengthSketch,
  MemberRecord,
  RequestLimitRecord,
  SuspectBlockRecord,
} from "@lavenderferry/protocol";

/** The types of the items in messages, by kind, the most urgent first. */
export interface ItemValues {
  readonly marks: DrainingMark;
  readonly members: MemberRecord;
  readonly suspects: SuspectBlockRecord;
  readonly limits: RequestLimitRecord;
  readonly duties: DutyRecord;
  readonly shares: EngineShare;
  readonly lengths: LengthSketch;
}

/** A key of `ItemValues`. */
export type ItemKind = keyof ItemValues;

/** The kinds in the order in which a message is filled. */
export const itemKinds: readonly ItemKind[] = [
  "marks",
  "members",
  "suspects",
  "limits",
  "duties",
  "shares",
  "lengths",
];

/** Kinds that a process forwards; it sends only its own of the others. */
export const forwardedKinds: ReadonlySet<ItemKind> = new Set<ItemKind>([
  "marks",
  "suspects",
  "limits",
  "members",
  "duties",
]);

/** Maximum number of items of each kind that a process keeps. */
export const maxItems: Readonly<Record<ItemKind, number>> = {
  marks: 1_024,
  suspects: 256,
  limits: 1_024,
  members: 4_096,
  duties: 1_024,
  shares: 1_024,
  lengths: 512,
};

/** Estimated bytes of a field's tag and length. */
const fieldBytes = 3;

type SizeEstimators = {
  readonly [Kind in ItemKind]: (value: ItemValues[Kind]) => number;
};

/** The terms beside `textBytes` estimate the values of numeric fields. */
const sizeEstimators: SizeEstimators = {
  marks: (value) => textBytes(value) + 20,
  suspects: (value) =>
    textBytes(value) + 9 +
    (value.ends ?? []).reduce((sum, end) => sum + fieldBytes + end.length, 0),
  members: (value) => textBytes(value) + 7,
  limits: (value) => textBytes(value) + 12,
  duties: (value) => textBytes(value) + 4,
  shares: (value) => textBytes(value) + 8,
  lengths: (value) => textBytes(value) + 4 * (value.counts?.length ?? 0),
};

/** Estimates the encoded size of an item in bytes. */
export function itemBytes<Kind extends ItemKind>(
  kind: Kind,
  value: ItemValues[Kind],
): number {
  return fieldBytes + sizeEstimators[kind](value);
}

/** Estimates the bytes of all fields without the values of numbers. */
function textBytes(value: object): number {
  let bytes = 0;
  for (const field of Object.values(value) as unknown[]) {
    bytes += fieldBytes + (typeof field === "string" ? field.length : 0);
  }
  return bytes;
}
