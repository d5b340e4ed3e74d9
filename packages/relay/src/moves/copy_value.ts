/**
 * Share of an engine's memory that may be in use after it has received a copy.
 * A copy doubles the memory that a generation takes, so beyond one half copies
 * would displace generations. Generations without a copy are moved one after
 * another when their engine leaves.
 */
export const maxMemoryFractionWithCopy = 0.5;

/** What a copy of a generation is worth and takes. */
export interface CopyOffer {
  /** Departures per engine and millisecond. */
  readonly leavesPerMs: number;
  /** Expected milliseconds until the generation ends. */
  readonly remainingMs: number;
  /** Tokens that are processed again if it is lost. */
  readonly lostTokens: number;
  /** Tokens that the copy takes until the generation ends. */
  readonly copyTokens: number;
}

/**
 * Returns the share of its memory up to which an engine may be in use with a
 * copy. Memory costs nothing in an empty engine and as much as what is lost for
 * certain at the limit; in between its price grows with the square of the share,
 * because the risk that new generations find no room grows faster than the use.
 */
export function copyMemoryLimit(
  { leavesPerMs, remainingMs, lostTokens, copyTokens }: CopyOffer,
): number {
  const leaveChance = 1 - Math.exp(-leavesPerMs * Math.max(0, remainingMs));
  const gain = leaveChance * lostTokens / Math.max(1, copyTokens);
  return maxMemoryFractionWithCopy * Math.min(1, Math.sqrt(gain));
}
