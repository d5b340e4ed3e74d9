import { hashText } from "@lavenderferry/runtime";

/** Returns the item whose hash together with the key's is greatest. */
export function rendezvous<Item extends { readonly hash: number }>(
  items: readonly Item[],
  key: string,
): Item | undefined {
  const keyHash = hashText(key);
  let best: Item | undefined;
  let bestScore = -1;
  for (const item of items) {
    const score = mix(item.hash ^ keyHash);
    if (score > bestScore) {
      best = item;
      bestScore = score;
    }
  }
  return best;
}

function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
