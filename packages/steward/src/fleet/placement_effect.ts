/** Effects of the orders to engines. */
export type PlacementEffect =
  | { readonly kind: "read_placement"; readonly pool: string }
  | {
    readonly kind: "order_engine";
    readonly engine: string;
    readonly address: string;
    readonly fence: number;
    /** The whole wanted state, never a step. */
    readonly models: readonly string[];
  };
