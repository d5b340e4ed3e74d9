/** Events of the settlement of usage. */
export type UsageEvent =
  | {
    readonly kind: "usage_settled";
    readonly steward: string;
    /** Batches up to this sequence are settled. */
    readonly settled: number;
  }
  | { readonly kind: "usage_not_settled"; readonly steward: string }
  | {
    readonly kind: "usage_held";
    readonly steward: string;
    /** Batches up to this sequence are held or settled. */
    readonly held: number;
  }
  | { readonly kind: "usage_not_held"; readonly steward: string }
  | {
    readonly kind: "charged_learned";
    readonly generationId: string;
    /** Tokens below this index are charged by the former entry. */
    readonly charged: number;
  };
