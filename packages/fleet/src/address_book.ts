import { rankByRendezvous } from "@lavenderferry/runtime";
import type { Member } from "./member.ts";

/** The addresses that callers should use, until a wall deadline. */
export interface Addresses {
  readonly addresses: readonly string[];
  /** Milliseconds since the Unix epoch. */
  readonly keepUntil: number;
}

/** What an answer to one caller is made from. */
export interface AddressQuery {
  readonly dataCentre: string;
  /** Grows with every answer, so that callers start at different entries. */
  readonly turn: number;
  /** Milliseconds since the Unix epoch. */
  readonly wall: number;
  /** Work in flight at an entry, where it is known. */
  readonly load?: (id: string) => number | undefined;
}

/** Milliseconds for which callers may keep the answer. */
export const keepAddressesMs = 3_000;

/** Addresses in one answer at most. */
export const maxAddresses = 16;

/** Share of the mean load above which an entry is listed last. */
const crowdedShare = 1.5;

/** Lists the addresses that callers should use, by `listEntries`. */
export function listAddresses(
  members: readonly Member[],
  query: AddressQuery,
): Addresses {
  return {
    addresses: listEntries(members, query)
      .map(({ address }) => `http://${address}`),
    keepUntil: query.wall + keepAddressesMs,
  };
}

/**
 * Lists live entries: those of the given data centre first, each group in an
 * order that turns with every answer, crowded ones last within their group.
 */
export function listEntries(
  members: readonly Member[],
  query: Omit<AddressQuery, "wall">,
): readonly Member[] {
  const entries = members.filter((member) =>
    member.role === "entry" && member.state === "live" && member.address !== ""
  );
  const near = entries.filter((each) => each.dataCentre === query.dataCentre);
  const far = entries.filter((each) => each.dataCentre !== query.dataCentre);
  return [...order(near, query), ...order(far, query)].slice(0, maxAddresses);
}

function order(
  entries: readonly Member[],
  { turn, load = () => undefined }: Omit<AddressQuery, "wall">,
): readonly Member[] {
  const fixed = rankByRendezvous("addresses", entries);
  const start = fixed.length === 0 ? 0 : turn % fixed.length;
  const turned = [...fixed.slice(start), ...fixed.slice(0, start)];
  const known = turned.flatMap(({ id }) => load(id) ?? []);
  const sum = known.reduce((total, each) => total + each, 0);
  const bound = crowdedShare * sum / Math.max(1, known.length);
  const crowded = ({ id }: Member) => (load(id) ?? 0) > bound;
  return [
    ...turned.filter((member) => !crowded(member)),
    ...turned.filter(crowded),
  ];
}
