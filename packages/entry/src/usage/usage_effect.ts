import type { Batch, OpenGeneration } from "@lavenderferry/ledger";

/** Calls to stewards that settle or hold usage. */
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
    /** Batches up to this sequence number are settled. */
    readonly settled: number;
    readonly generations: readonly OpenGeneration[];
  }
  | {
    readonly kind: "query_charged_index";
    readonly generationId: string;
    /** Peer addresses of stewards that may hold the previous entry's usage. */
    readonly addresses: readonly string[];
  };
