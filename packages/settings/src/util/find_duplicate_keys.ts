import type { Node } from "jsonc-parser";

/** Returns the key nodes that repeat an earlier key of the same object. */
export function findDuplicateKeys(node: Node): readonly Node[] {
  const nested = (node.children ?? []).flatMap(findDuplicateKeys);
  if (node.type !== "object") {
    return nested;
  }
  const seen = new Set<unknown>();
  const duplicates: Node[] = [];
  for (const property of node.children ?? []) {
    const key = property.children?.[0];
    if (key === undefined) {
      continue;
    }
    if (seen.has(key.value)) {
      duplicates.push(key);
    }
    seen.add(key.value);
  }
  return [...duplicates, ...nested];
}
