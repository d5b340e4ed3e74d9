import type {
  DrainingMark,
  DutyRecord,
  EngineShare,
  LengthSketch,
  MemberRecord,
} from "@lavenderferry/protocol";

/** What one message carries, by kind; the most urgent kind comes first. */
export interface ItemValues {
  readonly marks: DrainingMark;
  readonly members: MemberRecord;
  readonly duties: DutyRecord;
  readonly shares: EngineShare;
  readonly lengths: LengthSketch;
}

/** One of the kinds of items. */
export type ItemKind = keyof ItemValues;

/** The kinds in the order in which a message is filled. */
export const itemKinds: readonly ItemKind[] = [
  "marks",
  "members",
  "duties",
  "shares",
  "lengths",
];

/** Kinds that a process passes on from others; the rest is its own. */
export const forwardedKinds: ReadonlySet<ItemKind> = new Set<ItemKind>([
  "marks",
  "members",
  "duties",
]);

/** Items of one kind that a process keeps at most. */
export const maxItems: Readonly<Record<ItemKind, number>> = {
  marks: 1_024,
  members: 4_096,
  duties: 1_024,
  shares: 1_024,
  lengths: 512,
};

const fieldBytes = 3;

type Sizes = {
  readonly [Kind in ItemKind]: (value: ItemValues[Kind]) => number;
};

const sizes: Sizes = {
  marks: (value) => textBytes(value) + 7,
  members: (value) => textBytes(value) + 7,
  duties: (value) => textBytes(value) + 4,
  shares: (value) => textBytes(value) + 8,
  lengths: (value) => textBytes(value) + 4 * (value.counts?.length ?? 0),
};

/** Estimates the encoded size of an item in bytes. */
export function itemBytes<Kind extends ItemKind>(
  kind: Kind,
  value: ItemValues[Kind],
): number {
  return fieldBytes + sizes[kind](value);
}

function textBytes(value: object): number {
  let bytes = 0;
  for (const field of Object.values(value) as unknown[]) {
    bytes += fieldBytes + (typeof field === "string" ? field.length : 0);
  }
  return bytes;
}
