import type { Batch } from "@lavenderferry/ledger";
import { HeldUsage } from "@lavenderferry/ledger";

/** Batches of usage that are not settled yet, and the progress of epochs. */
export interface SettlementState {
  /** Batches for the next commit, by shard and then by epoch and sequence. */
  readonly pending: Map<number, Map<string, Batch>>;
  /** Shards with a commit in flight. */
  readonly committing: Set<number>;
  /** Sequence up to which batches are settled, by epoch. */
  readonly settledThrough: Map<string, number>;
  /** Batches held on behalf of other processes. */
  readonly held: HeldUsage;
}

/** Creates the state of a steward without batches. */
export function createSettlementState(): SettlementState {
  return {
    pending: new Map(),
    committing: new Set(),
    settledThrough: new Map(),
    held: new HeldUsage(),
  };
}
