import type { Configuration } from "@lavenderferry/configuration";
import type { ExchangeEffect } from "@lavenderferry/fleet";

/** Effects that read from the platform or exchange messages with peers. */
export type FleetEffect =
  | ExchangeEffect
  | { readonly kind: "list_vms" }
  | { readonly kind: "read_configuration" }
  | {
    /** Writes the versions again that the table has lost. */
    readonly kind: "write_configurations_again";
    /** Known versions, oldest first. */
    readonly configurations: readonly Configuration[];
  };
