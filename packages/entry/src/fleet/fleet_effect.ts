import type { ExchangeEffect } from "@lavenderferry/fleet";

/** Effects towards the platform and peers. */
export type FleetEffect =
  | ExchangeEffect
  | { readonly kind: "list_vms" }
  | { readonly kind: "read_configuration"; readonly known: number };
