import type { Configuration } from "@lavenderferry/configuration";
import type { ExchangeEvent } from "@lavenderferry/fleet";
import type { Vm } from "@lavenderferry/platform";

/** Results of calls of peers and of reads of VMs and the configuration. */
export type FleetEvent =
  | ExchangeEvent
  | { readonly kind: "vms_listed"; readonly vms: readonly Vm[] }
  | { readonly kind: "vms_failed" }
  | {
    readonly kind: "configuration_learned";
    readonly configuration: Configuration;
  }
  | { readonly kind: "configuration_failed" };
