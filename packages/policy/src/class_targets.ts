import type { Targets } from "@lavenderferry/configuration";

const priorityRange = 1_000;
const priorityPerOctave = 40;

/**
 * Priority inside an engine. Classes whose targets allow fewer preemptions and
 * less stall keep their memory longer.
 */
export function priorityOf(targets: Targets): number {
  const { preemptionsPerThousand, stallMs, firstTokenMs } = targets;
  const looseness = Math.log2(1 + preemptionsPerThousand) +
    Math.log2(1 + stallMs) / 2 + Math.log2(1 + firstTokenMs) / 2;
  return Math.round(priorityRange - priorityPerOctave * looseness);
}

/** Latest moment at which a demand may start and still meet its targets. */
export function startDeadline(
  demand: { readonly arrivedAt: number; readonly targets: Targets },
  expected: { readonly firstTokenMs: number; readonly decodeMs: number },
): number {
  const { arrivedAt, targets } = demand;
  const first = targets.firstTokenMs - expected.firstTokenMs;
  const completion = targets.completionMs - expected.decodeMs;
  return arrivedAt + Math.min(first, Math.max(completion, first / 2));
}
