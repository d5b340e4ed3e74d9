import type { Failure } from "@lavenderferry/errors";
import type { Batch, Handover, SettlementResult } from "@lavenderferry/ledger";

/** Events of the settlement of usage. */
export type SettlementEvent =
  | {
    readonly kind: "settle_requested";
    readonly batches: readonly Batch[];
  }
  | { readonly kind: "hold_requested"; readonly handover: Handover }
  | {
    readonly kind: "batches_settled";
    readonly shard: number;
    readonly batches: readonly Batch[];
    readonly result: SettlementResult;
  }
  | {
    readonly kind: "batches_forwarded";
    readonly epoch: string;
    /** Highest settled sequence of the epoch; 0 if forwarding failed. */
    readonly settled: number;
  }
  | {
    readonly kind: "batches_failed";
    readonly shard: number;
    readonly failure: Failure;
  };
