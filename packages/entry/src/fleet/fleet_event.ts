import type { Configuration } from "@lavenderferry/configuration";
import type { ErrorKind } from "@lavenderferry/errors";
import type { ExchangeEvent } from "@lavenderferry/fleet";
import type { Vm } from "@lavenderferry/platform";
import type { CacheChange, LoadReport } from "@lavenderferry/policy";

/** Events of VMs, upstreams, peers and the configuration. */
export type FleetEvent =
  | ExchangeEvent
  | { readonly kind: "vms_listed"; readonly vms: readonly Vm[] }
  | { readonly kind: "vms_failed" }
  | {
    readonly kind: "load_reported";
    readonly engine: string;
    readonly report: LoadReport;
  }
  | { readonly kind: "load_failed"; readonly engine: string }
  | {
    readonly kind: "cache_changed";
    readonly engine: string;
    readonly change: CacheChange;
  }
  | {
    readonly kind: "configuration_learned";
    readonly configuration: Configuration;
  }
  | { readonly kind: "configuration_failed"; readonly error: ErrorKind };
