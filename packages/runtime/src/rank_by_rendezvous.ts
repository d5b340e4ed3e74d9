import { hashText } from "./hash_text.ts";

/** Returns the top `count` candidates by rendezvous hashing of the key. */
export function rankByRendezvous<Candidate extends { readonly id: string }>(
  key: string,
  candidates: readonly Candidate[],
  count = candidates.length,
): readonly Candidate[] {
  return candidates
    .map((candidate) => ({
      candidate,
      weight: hashText(`${key}\n${candidate.id}`),
    }))
    .sort((a, b) =>
      b.weight - a.weight || (a.candidate.id < b.candidate.id ? -1 : 1)
    )
    .slice(0, count)
    .map(({ candidate }) => candidate);
}
