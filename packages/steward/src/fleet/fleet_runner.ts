import { ConfigurationStore } from "@lavenderferry/configuration";
import type { ExchangeEffect } from "@lavenderferry/fleet";
import type { PlatformClient } from "@lavenderferry/platform";
import type { EffectHandlers } from "@lavenderferry/runtime";
import type { StewardEvent } from "../events.ts";
import type { FleetEffect } from "./fleet_effect.ts";

/** Creates the handlers of reads of the VM list and the configuration. */
export function createFleetHandlers(
  platform: PlatformClient,
): EffectHandlers<StewardEvent, Exclude<FleetEffect, ExchangeEffect>> {
  const configurations = new ConfigurationStore(platform);
  return {
    list_vms: (_effect, dispatch) => {
      platform.listVms().then(
        (vms) => dispatch({ kind: "vms_listed", vms }),
        () => dispatch({ kind: "vms_failed" }),
      );
    },
    read_latest: (_effect, dispatch) => {
      configurations.readLatest().then(
        (configuration) =>
          dispatch({ kind: "configuration_learned", configuration }),
        () => dispatch({ kind: "configuration_failed" }),
      );
    },
  };
}
