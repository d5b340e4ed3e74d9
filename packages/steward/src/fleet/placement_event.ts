/** Results of reads of desired models and of orders to engines. */
export type PlacementEvent =
  | {
    readonly kind: "placement_read";
    readonly pool: string;
    /**
     * Models that each engine of the pool should serve; `null` if the table has
     * no valid row or cannot be read.
     */
    readonly models: readonly string[] | null;
  }
  | {
    readonly kind: "engine_ordered";
    readonly engine: string;
    readonly fence: number;
    /** Models that the engine reports after the order. */
    readonly models: readonly string[];
  }
  | { readonly kind: "order_failed"; readonly engine: string };
