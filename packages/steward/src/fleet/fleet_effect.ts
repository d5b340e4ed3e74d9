import type { ExchangeEffect } from "@lavenderferry/fleet";

/** Calls of peers, and reads of the VM list and of the configuration. */
export type FleetEffect =
  | ExchangeEffect
  | { readonly kind: "list_vms" }
  | { readonly kind: "read_latest" };
