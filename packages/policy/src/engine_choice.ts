import type { Moment, Random } from "@lavenderferry/runtime";
import type { Engine } from "./engine.ts";
import { rendezvous } from "./rendezvous.ts";

/** Random engines among which a demand is placed without reports. */
export const randomCandidateCount = 3;

/**
 * Random engines that are asked for their reports. With two, the load is spread
 * nearly as well as with more, and processes that decide at the same time rarely
 * choose the same engine.
 */
const askedCount = 2;

/** Samples engines and adds the one that the prefix hashes to. */
export function selectCandidates(
  engines: readonly Engine[],
  random: Random,
  prefix: string | undefined,
): readonly Engine[] {
  if (engines.length <= randomCandidateCount) {
    return engines;
  }
  const candidates = new Set(
    sampleEngines(engines, random, randomCandidateCount),
  );
  const affinityEngine = prefix === undefined
    ? undefined
    : rendezvous(engines, prefix);
  if (affinityEngine !== undefined) {
    candidates.add(affinityEngine);
  }
  return [...candidates];
}

/**
 * Returns the ids of the engines to ask before a demand is placed or released. An
 * engine whose circuit is open would be asked in vain.
 */
export function selectToAsk(
  engines: readonly Engine[],
  random: Random,
  { prefix, at }: { readonly prefix: string | undefined; readonly at: Moment },
): readonly string[] {
  const usable = engines.filter(({ circuit }) =>
    circuit.allowanceAt(at.monotonic) > 0
  );
  const asked = new Set(sampleEngines(usable, random, askedCount));
  const affinityEngine = prefix === undefined
    ? undefined
    : rendezvous(usable, prefix);
  if (affinityEngine !== undefined) {
    asked.add(affinityEngine);
  }
  return [...asked].map(({ id }) => id);
}

/** Returns up to `count` distinct engines in random order. */
export function sampleEngines(
  engines: readonly Engine[],
  random: Random,
  count: number,
): readonly Engine[] {
  const sample = new Set<Engine>();
  const sampleSize = Math.min(count, engines.length);
  while (sample.size < sampleSize) {
    const engine = engines[random.integerBelow(engines.length)];
    if (engine !== undefined) {
      sample.add(engine);
    }
  }
  return [...sample];
}
