import { hashText } from "@lavenderferry/runtime";

/** Returns the item that rendezvous hashing selects for a key. */
export function rendezvous<Item extends { readonly hash: number }>(
  items: readonly Item[],
  key: string,
): Item | undefined {
  const keyHash = hashText(key);
  let best: Item | undefined;
  let bestScore = -1;
  for (const item of items) {
    const score = scoreRendezvous(item.hash, keyHash);
    if (score > bestScore) {
      best = item;
      bestScore = score;
    }
  }
  return best;
}

/** Returns the score of an item for a key; the highest one is selected. */
export function scoreRendezvous(itemHash: number, keyHash: number): number {
  let hash = itemHash ^ keyHash;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
