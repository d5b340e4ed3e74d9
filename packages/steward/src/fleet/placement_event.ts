/** Results of the orders to engines. */
export type PlacementEvent =
  | {
    readonly kind: "placement_read";
    readonly pool: string;
    /** Models that every engine of the pool should serve; `null`: any. */
    readonly models: readonly string[] | null;
  }
  | {
    readonly kind: "engine_ordered";
    readonly engine: string;
    readonly fence: number;
    /** Models that the engine states after the order. */
    readonly models: readonly string[];
  }
  | { readonly kind: "order_failed"; readonly engine: string };
