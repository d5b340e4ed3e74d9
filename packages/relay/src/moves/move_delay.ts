import type { RunningGeneration } from "../relay_event.ts";

/**
 * Milliseconds added per move to the time of its copy. Tokens generated during
 * the copy are copied once more before the next move takes the network link.
 */
const perMoveOverheadMs = 40;

/**
 * Returns how many milliseconds a generation's move is delayed so that smaller
 * generations on the same engine are moved first. Copies share the engine's
 * network link: if all started at once, they would all complete late, after a
 * leaving engine has ended. All processes derive the order from the engine's
 * own list, so they agree without communicating.
 */
export function moveDelayMs(
  requestId: string,
  runs: readonly RunningGeneration[],
  tokensPerMs: number,
): number {
  const ownTokens = runs.find((run) => run.requestId === requestId)?.tokens ??
    0;
  return runs
    .filter((run) =>
      run.tokens < ownTokens ||
      (run.tokens === ownTokens && run.requestId < requestId)
    )
    .reduce(
      (sum, { tokens }) => sum + perMoveOverheadMs + tokens / tokensPerMs,
      0,
    );
}
