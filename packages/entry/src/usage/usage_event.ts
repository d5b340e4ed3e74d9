/** Events of the settlement of usage. */
export type UsageEvent =
  | { readonly kind: "usage_settled"; readonly settled: number }
  | { readonly kind: "usage_not_settled"; readonly sequence: number };
