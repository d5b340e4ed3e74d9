/** Reads of desired models and orders to engines. */
export type PlacementEffect =
  | { readonly kind: "read_placement"; readonly pool: string }
  | {
    readonly kind: "order_engine";
    readonly engine: string;
    readonly address: string;
    readonly fence: number;
    /** All models that the engine should serve, never only a change. */
    readonly models: readonly string[];
  };
