/**
 * What processes know about a block of prompts under which engines ended. A
 * request as a whole counts as a block, so that one without a prompt has one.
 */
export interface SuspectBlock {
  /** Id of the block, or id of a request from `requestBlockOf()`. */
  readonly block: string;
  /** Number of times that complete answers have cleared the block. */
  readonly clearances: number;
  /**
   * Attempts at prompts with the block that engines had just begun when they
   * ended, as `engine/attempt` or, after a quarantine, as `engine/trial:attempt`,
   * since the block was last cleared.
   */
  readonly ends: readonly string[];
  /** Milliseconds since the Unix epoch of the last end or clearance. */
  readonly changedAt: number;
}

/** A request that an engine had just begun to answer when it ended. */
export interface BegunPrompt {
  /** Id of the attempt; unique across processes. */
  readonly attemptId: string;
  /** Ids of the prompt's blocks and of the request as a whole. */
  readonly blocks: readonly string[];
}

/** Blocks that together identify the prompts that end engines. */
export interface Quarantine {
  /** Prompts that contain all of these blocks are refused. */
  readonly blocks: readonly string[];
  /** Monotonic milliseconds until which the quarantine holds. */
  readonly deadline: number;
}
