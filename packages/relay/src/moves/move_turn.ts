import type { RunningGeneration } from "../relay_event.ts";

/**
 * Milliseconds that each takes beside its copy: what was made meanwhile is
 * copied once more, before the next one fills the link.
 */
const settleMs = 40;

/**
 * Returns how many milliseconds a generation's move waits for those that go
 * before it. Copies queue on the engine's link: made all at once, each would
 * be complete only at the end, which engines that leave do not live to see.
 * All processes take the order from the engine's own list, so that they agree
 * without asking each other.
 */
export function turnOf(
  requestId: string,
  runs: readonly RunningGeneration[],
  tokensPerMs: number,
): number {
  const own = runs.find((run) => run.requestId === requestId)?.tokens ?? 0;
  return runs
    .filter((run) =>
      run.tokens < own || (run.tokens === own && run.requestId < requestId)
    )
    .reduce((sum, { tokens }) => sum + settleMs + tokens / tokensPerMs, 0);
}
