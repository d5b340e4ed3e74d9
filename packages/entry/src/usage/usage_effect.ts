import type { Batch } from "@lavenderferry/ledger";

/** Effects of the settlement of usage. */
export type UsageEffect = {
  readonly kind: "settle_usage";
  readonly address: string;
  readonly batch: Batch;
};
