import { hashText, rankByRendezvous } from "@lavenderferry/runtime";
import type { Member } from "./member.ts";

/** Peers in the process's own data centre. */
export const nearPeers = 2;

/** Peers in other data centres. */
export const farPeers = 1;

/** Peers that a process calls, by where they are. */
export interface FanOut {
  readonly near: number;
  readonly far: number;
}

/** The fan-out for which the exchange's budget of bytes is worked out. */
export const defaultFanOut: FanOut = { near: nearPeers, far: farPeers };

/**
 * Chooses the peers that a process calls. A ring within the data centre and a
 * ring of the data centres keep the graph connected; the others are chosen by
 * rendezvous.
 */
export function choosePeers(
  self: Member,
  members: readonly Member[],
  fanOut: FanOut = defaultFanOut,
): readonly Member[] {
  const others = members.filter((member) =>
    member.id !== self.id && member.state !== "gone" && member.peers !== ""
  );
  return [
    ...chooseNear(self, others, fanOut.near),
    ...chooseFar(self, others, fanOut.far),
  ];
}

function chooseNear(
  self: Member,
  others: readonly Member[],
  count: number,
): readonly Member[] {
  const near = others.filter((each) => each.dataCentre === self.dataCentre);
  const chosen = new Map<string, Member>();
  const live = near.filter(({ state }) => state !== "suspected");
  for (const ring of [near, live]) {
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
  const far = others.filter((each) => each.dataCentre !== self.dataCentre);
  const next = nextDataCentre(self.dataCentre, far);
  const inNext = far.filter(({ dataCentre }) => dataCentre === next);
  const ranked = [
    ...rankByRendezvous(self.id, inNext, 1),
    ...rankByRendezvous(self.id, far, count),
  ];
  return [...new Map(ranked.map((each) => [each.id, each])).values()]
    .slice(0, count);
}

/** Returns the member that follows an id on the ring of hashes. */
function successor(
  id: string,
  members: readonly Member[],
): Member | undefined {
  const own = hashText(id);
  const ring = members
    .map((member) => ({ member, place: hashText(member.id) }))
    .sort((a, b) => a.place - b.place || (a.member.id < b.member.id ? -1 : 1));
  return (ring.find(({ place }) => place > own) ?? ring[0])?.member;
}

function nextDataCentre(
  own: string,
  far: readonly Member[],
): string | undefined {
  const names = [...new Set(far.map(({ dataCentre }) => dataCentre))].sort();
  return names.find((name) => name > own) ?? names[0];
}
