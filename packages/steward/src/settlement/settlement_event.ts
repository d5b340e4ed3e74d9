import type { Failure } from "@lavenderferry/errors";
import type { Batch } from "@lavenderferry/ledger";

/** Events of the settlement of usage. */
export type SettlementEvent =
  | {
    readonly kind: "settle_requested";
    readonly replyId: string;
    readonly batches: readonly Batch[];
  }
  | {
    readonly kind: "batches_settled";
    readonly replyId: string;
    readonly settled: number;
  }
  | {
    readonly kind: "batches_failed";
    readonly replyId: string;
    readonly failure: Failure;
  };
