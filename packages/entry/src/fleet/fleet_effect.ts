import type { ExchangeEffect } from "@lavenderferry/fleet";

/** Effects that read from the platform or exchange messages with peers. */
export type FleetEffect =
  | ExchangeEffect
  | { readonly kind: "list_vms" }
  | { readonly kind: "read_configuration"; readonly knownVersion: number };
