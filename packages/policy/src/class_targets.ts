import type { Targets } from "@lavenderferry/configuration";

const maxPriority = 1_000;
/** Decrease of the priority per unit of looseness. */
const priorityPerOctave = 40;

/**
 * Returns the scheduling priority in the engine. The stricter the targets, the
 * higher it is, so that classes that allow few preemptions and short stalls are
 * preempted last.
 */
export function priorityOf(targets: Targets): number {
  const { preemptionsPerThousand, stallMs, firstTokenMs } = targets;
  const looseness = Math.log2(1 + preemptionsPerThousand) +
    Math.log2(1 + stallMs) / 2 + Math.log2(1 + firstTokenMs) / 2;
  return Math.round(maxPriority - priorityPerOctave * looseness);
}

/** Returns the latest start, in monotonic ms, that still meets the targets. */
export function startDeadline(
  demand: { readonly arrivedAt: number; readonly targets: Targets },
  expected: { readonly firstTokenMs: number; readonly decodeMs: number },
): number {
  const { arrivedAt, targets } = demand;
  const firstTokenSlackMs = targets.firstTokenMs - expected.firstTokenMs;
  const completionSlackMs = targets.completionMs - expected.decodeMs;
  return arrivedAt +
    Math.min(
      firstTokenSlackMs,
      Math.max(completionSlackMs, firstTokenSlackMs / 2),
    );
}
