/** Answers of stewards that settle or hold usage. */
export type UsageEvent =
  | {
    readonly kind: "usage_settled";
    readonly steward: string;
    /** Batches up to this sequence number are settled. */
    readonly settled: number;
  }
  | { readonly kind: "usage_not_settled"; readonly steward: string }
  | {
    readonly kind: "usage_held";
    readonly steward: string;
    /** Batches up to this sequence number are held or settled. */
    readonly held: number;
  }
  | { readonly kind: "usage_not_held"; readonly steward: string }
  | {
    readonly kind: "charged_index_received";
    readonly generationId: string;
    /** Tokens below this index are charged by the previous entry. */
    readonly chargedIndex: number;
  };
