import type { Failure } from "@lavenderferry/errors";
import type { Batch } from "@lavenderferry/ledger";

/** Effects of the settlement of usage. */
export type SettlementEffect =
  | {
    readonly kind: "settle_batches";
    readonly replyId: string;
    readonly shard: number;
    readonly batches: readonly Batch[];
  }
  | {
    readonly kind: "answer_settlement";
    readonly replyId: string;
    readonly settled: number;
  }
  | {
    readonly kind: "refuse_settlement";
    readonly replyId: string;
    readonly failure: Failure;
  };
