const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Returns a 32-bit hash of the text, mixed so that all bits depend on all. */
export function hashText(text: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Returns up to `count` candidates, by rendezvous hashing of the key. */
export function rankByRendezvous<Candidate extends { readonly id: string }>(
  key: string,
  candidates: readonly Candidate[],
  count: number,
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
