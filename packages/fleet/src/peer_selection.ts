import { hashText, rankByRendezvous } from "@lavenderferry/runtime";
import {
  exchangeIntervalMs,
  sparseExchangeIntervalMs,
} from "./exchange_intervals.ts";
import type { Member } from "./member.ts";
import { countReaders } from "./readers.ts";

/** Number of peers to call in the process's own data centre. */
export const nearPeers = 2;

/** Number of peers to call in other data centres. */
export const farPeers = 1;

/** Numbers of peers that a process calls, by location. */
export interface FanOut {
  readonly near: number;
  readonly far: number;
}

/** The fan-out from which the exchange's byte budget is computed. */
export const defaultFanOut: FanOut = { near: nearPeers, far: farPeers };

/** Other readers that a reader calls, so that they know each other's news. */
const readersPerReader = 2;

/** Options of the choice of peers. */
export interface PeerSelection {
  readonly fanOut?: FanOut | undefined;
  /** Number of peers up to which all are chosen. */
  readonly meshSize?: number | undefined;
  /** Members by rank as readers of the store, if some read it for all. */
  readonly readers?: readonly Member[];
}

/**
 * Chooses the peers that a process calls. A ring within the data centre and a
 * ring of the data centres keep the graph connected; the others are chosen by
 * rendezvous hashing.
 */
export function choosePeers(
  self: Member,
  members: readonly Member[],
  { fanOut = defaultFanOut, meshSize = 0, readers = [] }: PeerSelection = {},
): readonly Member[] {
  const others = members.filter((member) =>
    member.id !== self.id && member.state !== "gone" && member.peers !== ""
  );
  if (others.length <= meshSize) {
    return others;
  }
  const chosen = [
    ...chooseReaders(self, readers),
    ...chooseNear(self, others, fanOut.near),
    ...chooseFar(self, others, fanOut.far),
  ];
  return [...new Map(chosen.map((member) => [member.id, member])).values()];
}

/** A reader calls the next ones, any other member calls one, if possible near. */
function chooseReaders(
  self: Member,
  ranked: readonly Member[],
): readonly Member[] {
  const readers = ranked.slice(0, countReaders(ranked));
  const position = readers.findIndex(({ id }) => id === self.id);
  if (position >= 0) {
    return [...readers.slice(position + 1), ...readers.slice(0, position)]
      .slice(0, readersPerReader);
  }
  const near = readers.filter(({ dataCentre }) =>
    dataCentre === self.dataCentre
  );
  return rankByRendezvous(self.id, near.length > 0 ? near : readers, 1);
}

function chooseNear(
  self: Member,
  others: readonly Member[],
  count: number,
): readonly Member[] {
  const near = others.filter((member) => member.dataCentre === self.dataCentre);
  const chosen = new Map<string, Member>();
  const unsuspected = near.filter(({ state }) => state !== "suspected");
  for (const ring of [near, unsuspected]) {
    const next = successor(self.id, ring);
    if (next !== undefined) {
      chosen.set(next.id, next);
    }
  }
  for (const member of rankByRendezvous(self.id, near)) {
    if (chosen.size >= count) {
      break;
    }
    chosen.set(member.id, member);
  }
  return [...chosen.values()];
}

function chooseFar(
  self: Member,
  others: readonly Member[],
  count: number,
): readonly Member[] {
  const far = others.filter((member) => member.dataCentre !== self.dataCentre);
  const next = nextDataCentre(self.dataCentre, far);
  const inNext = far.filter(({ dataCentre }) => dataCentre === next);
  const ranked = [
    ...rankByRendezvous(self.id, inNext, 1),
    ...rankByRendezvous(self.id, far, count),
  ];
  return [...new Map(ranked.map((member) => [member.id, member])).values()]
    .slice(0, count);
}

/** Returns the member that follows an id on the hash ring. */
function successor(
  id: string,
  members: readonly Member[],
): Member | undefined {
  const ownPosition = hashText(id);
  const ring = members
    .map((member) => ({ member, position: hashText(member.id) }))
    .sort((a, b) =>
      a.position - b.position || (a.member.id < b.member.id ? -1 : 1)
    );
  return (ring.find(({ position }) => position > ownPosition) ?? ring[0])
    ?.member;
}

function nextDataCentre(
  own: string,
  far: readonly Member[],
): string | undefined {
  const names = [...new Set(far.map(({ dataCentre }) => dataCentre))].sort();
  return names.find((name) => name > own) ?? names[0];
}

/**
 * Returns the interval between exchanges with a peer. In a large fleet it is
 * longer with peers that are no readers, as they bring less news.
 */
export function createIntervals(
  { isMesh, readers }: {
    readonly isMesh: boolean;
    readonly readers: readonly Member[];
  },
): (peer: Member) => number {
  const ids = new Set(
    readers.slice(0, countReaders(readers)).map(({ id }) => id),
  );
  return ({ id }) =>
    isMesh || ids.has(id) ? exchangeIntervalMs : sparseExchangeIntervalMs;
}
