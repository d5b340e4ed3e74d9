import type { Random } from "@lavenderferry/runtime";
import type { Engine } from "./engine.ts";
import { rendezvous } from "./rendezvous.ts";

const randomCandidateCount = 3;

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
