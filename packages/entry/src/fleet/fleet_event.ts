import type { Configuration } from "@lavenderferry/configuration";
import type { ErrorKind } from "@lavenderferry/errors";
import type { ExchangeEvent } from "@lavenderferry/fleet";
import type { Vm } from "@lavenderferry/platform";
import type { CacheChange, LoadReport } from "@lavenderferry/policy";

/** Events about VMs, engines, peers and the configuration. */
export type FleetEvent =
  | ExchangeEvent
  | { readonly kind: "vms_listed"; readonly vms: readonly Vm[] }
  | { readonly kind: "vm_listing_failed" }
  | {
    readonly kind: "load_reported";
    readonly engine: string;
    readonly report: LoadReport;
  }
  | { readonly kind: "load_report_failed"; readonly engine: string }
  | {
    readonly kind: "cache_changed";
    readonly engine: string;
    readonly change: CacheChange;
  }
  | {
    readonly kind: "configuration_read";
    readonly configuration: Configuration;
  }
  | { readonly kind: "configuration_read_failed"; readonly error: ErrorKind };
