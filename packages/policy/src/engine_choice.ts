import type { Random } from "@lavenderferry/runtime";
import type { Engine } from "./engine.ts";
import { rendezvous } from "./rendezvous.ts";

const randomCandidates = 3;

/** Returns a few random engines and the one that the prefix hashes to. */
export function candidatesOf(
  engines: readonly Engine[],
  random: Random,
  prefix: string | undefined,
): readonly Engine[] {
  if (engines.length <= randomCandidates) {
    return engines;
  }
  const chosen = new Set(sampleOf(engines, random, randomCandidates));
  const home = prefix === undefined ? undefined : rendezvous(engines, prefix);
  if (home !== undefined) {
    chosen.add(home);
  }
  return [...chosen];
}

/** Returns up to `count` engines in random order. */
export function sampleOf(
  engines: readonly Engine[],
  random: Random,
  count: number,
): readonly Engine[] {
  const chosen = new Set<Engine>();
  const wanted = Math.min(count, engines.length);
  while (chosen.size < wanted) {
    const engine = engines[random.below(engines.length)];
    if (engine !== undefined) {
      chosen.add(engine);
    }
  }
  return [...chosen];
}
