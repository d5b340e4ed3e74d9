/** Effects towards the platform and peers. */
export type FleetEffect =
  | { readonly kind: "list_vms" }
  | { readonly kind: "read_latest" };
