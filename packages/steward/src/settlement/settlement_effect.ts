import type { Batch } from "@lavenderferry/ledger";

/** Effects of the settlement of usage. */
export type SettlementEffect = {
  readonly kind: "settle_batches";
  readonly shard: number;
  readonly batches: readonly Batch[];
  /** Wall time in milliseconds. */
  readonly now: number;
  /** Fence of the shard's lease; 0 when none is held. */
  readonly fence: number;
};
