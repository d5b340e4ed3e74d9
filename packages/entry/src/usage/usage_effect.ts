import type { Batch, OpenGeneration } from "@lavenderferry/ledger";

/** Effects of the settlement of usage. */
export type UsageEffect =
  | {
    readonly kind: "settle_usage";
    readonly steward: string;
    readonly address: string;
    readonly batches: readonly Batch[];
  }
  | {
    readonly kind: "hold_usage";
    readonly steward: string;
    readonly address: string;
    readonly epoch: string;
    readonly batches: readonly Batch[];
    /** Batches up to this sequence are settled. */
    readonly settled: number;
    readonly generations: readonly OpenGeneration[];
  }
  | {
    readonly kind: "ask_charged";
    readonly generationId: string;
    /** Peer addresses of stewards that may hold the former entry's usage. */
    readonly addresses: readonly string[];
  };
