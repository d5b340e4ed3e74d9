import type { Moment, Random } from "@lavenderferry/runtime";
import type { Engine } from "./engine.ts";
import { rendezvous } from "./rendezvous.ts";

const randomCandidateCount = 3;

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

/** Selects the engines to ask before a demand is placed or released. */
export function selectToAsk(
  engines: readonly Engine[],
  random: Random,
  prefix?: string,
): readonly Engine[] {
  const asked = new Set(sampleEngines(engines, random, askedCount));
  const affinityEngine = prefix === undefined
    ? undefined
    : rendezvous(engines, prefix);
  if (affinityEngine !== undefined) {
    asked.add(affinityEngine);
  }
  return [...asked];
}

/**
 * Samples the engines that have reported recently; `null`: none has. It is used
 * where a decision does not wait for reports.
 */
export function selectReported(
  engines: readonly Engine[],
  random: Random,
  at: Moment,
): readonly Engine[] | null {
  const reported = engines.filter(({ view }) => view.hasRecentSample(at));
  return reported.length === 0
    ? null
    : sampleEngines(reported, random, randomCandidateCount);
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
