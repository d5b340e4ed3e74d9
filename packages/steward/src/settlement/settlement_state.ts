import type { Batch } from "@lavenderferry/ledger";
import { HeldUsage } from "@lavenderferry/ledger";

/** What the steward knows of usage that is to be settled. */
export interface SettlementState {
  /** Batches that wait for the next commit of their shard, by batch name. */
  readonly pending: Map<number, Map<string, Batch>>;
  /** Shards with a commit in flight. */
  readonly running: Set<number>;
  /** Sequence up to which the batches of an epoch are settled. */
  readonly settledThrough: Map<string, number>;
  /** Batches kept on behalf of other processes. */
  readonly held: HeldUsage;
}

/** Creates the state of a steward that has nothing to settle. */
export function createSettlementState(): SettlementState {
  return {
    pending: new Map(),
    running: new Set(),
    settledThrough: new Map(),
    held: new HeldUsage(),
  };
}
