import type { Batch } from "@lavenderferry/ledger";

/** Effects of the settlement of usage. */
export type SettlementEffect =
  | {
    readonly kind: "settle_batches";
    readonly shard: number;
    readonly batches: readonly Batch[];
    /** Milliseconds since the Unix epoch. */
    readonly now: number;
    /** Fence of the shard's lease. */
    readonly fence: number;
  }
  | {
    readonly kind: "forward_batches";
    /** Peer address of the steward that holds the shard's duty. */
    readonly address: string;
    readonly epoch: string;
    readonly batches: readonly Batch[];
  };
