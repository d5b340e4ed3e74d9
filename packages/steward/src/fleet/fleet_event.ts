import type { Configuration } from "@lavenderferry/configuration";
import type { ExchangeEvent } from "@lavenderferry/fleet";
import type { Vm } from "@lavenderferry/platform";

/** Events about VMs, peers and the configuration. */
export type FleetEvent =
  | ExchangeEvent
  | { readonly kind: "vms_listed"; readonly vms: readonly Vm[] }
  | { readonly kind: "vm_listing_failed" }
  | {
    readonly kind: "configuration_read";
    readonly configuration: Configuration;
  }
  | { readonly kind: "configuration_read_failed" }
  | {
    readonly kind: "configurations_written_again";
    /** Versions that the table had lost. */
    readonly versions: readonly number[];
  };
