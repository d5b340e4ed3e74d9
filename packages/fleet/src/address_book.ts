import { rankByRendezvous } from "@lavenderferry/runtime";
import type { Member } from "./member.ts";

/** The addresses that callers should use, and for how long. */
export interface Addresses {
  readonly addresses: readonly string[];
  /** Milliseconds since the Unix epoch. */
  readonly keepUntil: number;
}

/** The parameters of one caller's answer. */
export interface AddressQuery {
  readonly dataCentre: string;
  /** Grows with every answer, so that callers start at different entries. */
  readonly rotation: number;
  /** Milliseconds since the Unix epoch. */
  readonly wall: number;
  /** Returns the requests in flight at an entry, if known. */
  readonly load?: (id: string) => number | undefined;
}

/** Time for which callers may cache the answer. */
export const addressCacheMs = 3_000;

/** Maximum number of addresses in one answer. */
export const maxAddresses = 16;

/** Ratio to the mean load above which an entry is listed last. */
const highLoadRatio = 1.5;

/** Lists the URLs of entries in the order of `listEntries`. */
export function listAddresses(
  members: readonly Member[],
  query: AddressQuery,
): Addresses {
  return {
    addresses: listEntries(members, query)
      .map(({ address }) => `http://${address}`),
    keepUntil: query.wall + addressCacheMs,
  };
}

/**
 * Lists live entries: those of the given data centre first, each group rotated
 * by the query's rotation, with highly loaded entries last within their group.
 */
export function listEntries(
  members: readonly Member[],
  query: Omit<AddressQuery, "wall">,
): readonly Member[] {
  const entries = members.filter((member) =>
    member.role === "entry" && member.state === "live" && member.address !== ""
  );
  const near = entries.filter((entry) => entry.dataCentre === query.dataCentre);
  const far = entries.filter((entry) => entry.dataCentre !== query.dataCentre);
  return [...orderEntries(near, query), ...orderEntries(far, query)].slice(
    0,
    maxAddresses,
  );
}

function orderEntries(
  entries: readonly Member[],
  { rotation, load = () => undefined }: Omit<AddressQuery, "wall">,
): readonly Member[] {
  const ranked = rankByRendezvous("addresses", entries);
  const start = ranked.length === 0 ? 0 : rotation % ranked.length;
  const rotated = [...ranked.slice(start), ...ranked.slice(0, start)];
  const loads = rotated.flatMap(({ id }) => load(id) ?? []);
  const sum = loads.reduce((total, value) => total + value, 0);
  const highLoad = highLoadRatio * sum / Math.max(1, loads.length);
  const isHighlyLoaded = ({ id }: Member) => (load(id) ?? 0) > highLoad;
  return [
    ...rotated.filter((member) => !isHighlyLoaded(member)),
    ...rotated.filter(isHighlyLoaded),
  ];
}
