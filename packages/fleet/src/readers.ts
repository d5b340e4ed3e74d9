import { rankByRendezvous } from "@lavenderferry/runtime";
import type { Member } from "./member.ts";

/** Number of members that read the platform's store for all others. */
export const readerCount = 8;

/** Members per reader that read next if they hear of no reader. */
const deputiesPerReader = 3;

/** Key by which all members rank each other as readers. */
const rankingKey = "readers";

/** How soon a member reads the store itself; a key of `readerRanks`. */
export type ReaderRank = keyof typeof readerRanks;

/** What a member does about the store, by its rank among all. */
export const readerRanks = {
  /** Reads for all. */
  reader: "reader",
  /** Reads if the readers' news stay away. */
  deputy: "deputy",
  /** Reads if the deputies' news stay away too. */
  other: "other",
} as const;

/**
 * Ranks members as readers of the store. Rendezvous hashing lets all members
 * agree without messages; data centres take turns, so that each has a reader.
 */
export function rankReaders(members: readonly Member[]): readonly Member[] {
  const candidates = members.filter(({ state }) => state === "live");
  const queues = new Map<string, Member[]>();
  for (const member of rankByRendezvous(rankingKey, candidates)) {
    const queue = queues.get(member.dataCentre) ?? [];
    queue.push(member);
    queues.set(member.dataCentre, queue);
  }
  const ranked: Member[] = [];
  while (ranked.length < candidates.length) {
    for (const queue of queues.values()) {
      const next = queue.shift();
      ranked.push(...next === undefined ? [] : [next]);
    }
  }
  return ranked;
}

/** Returns how many of the ranked members read the store. */
export function countReaders(ranked: readonly Member[]): number {
  const dataCentres = new Set(ranked.map(({ dataCentre }) => dataCentre));
  return Math.min(ranked.length, Math.max(readerCount, dataCentres.size));
}

/** Returns a member's rank; one that is not ranked reads, as it knows no other. */
export function rankOf(id: string, ranked: readonly Member[]): ReaderRank {
  const position = ranked.findIndex((member) => member.id === id);
  const readers = countReaders(ranked);
  if (position < readers) {
    return "reader";
  }
  return position < readers * (1 + deputiesPerReader) ? "deputy" : "other";
}
