/** A peer's record of a block of prompts under which engines ended. */
export interface SuspectRecord {
  readonly block: string;
  /** Number of times that complete answers have cleared the block. */
  readonly clearances: number;
  /** Attempts under which engines ended, as `engine/attempt`. */
  readonly ends: readonly string[];
  /** Milliseconds since the Unix epoch of the last end or clearance. */
  readonly changedAt: number;
}
