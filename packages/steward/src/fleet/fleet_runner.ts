import { ConfigurationStore } from "@lavenderferry/configuration";
import type { ExchangeEffect } from "@lavenderferry/fleet";
import type { PlatformClient } from "@lavenderferry/platform";
import type { EffectHandlers } from "@lavenderferry/runtime";
import type { StewardEvent } from "../events.ts";
import type { FleetEffect } from "./fleet_effect.ts";

/** Creates the handlers that list VMs and read the configuration. */
export function createFleetHandlers(
  platform: PlatformClient,
): EffectHandlers<StewardEvent, Exclude<FleetEffect, ExchangeEffect>> {
  const configurations = new ConfigurationStore(platform);
  return {
    list_vms: (_effect, dispatch) => {
      platform.listVms().then(
        (vms) => dispatch({ kind: "vms_listed", vms }),
        () => dispatch({ kind: "vm_listing_failed" }),
      );
    },
    read_configuration: (_effect, dispatch) => {
      configurations.readLatest().then(
        (configuration) =>
          dispatch({ kind: "configuration_read", configuration }),
        () => dispatch({ kind: "configuration_read_failed" }),
      );
    },
    write_configurations_again: ({ configurations: known }, dispatch) => {
      configurations.writeAgain(known).then(
        (written) => {
          const versions = written.map(({ version }) => version);
          dispatch({ kind: "configurations_written_again", versions });
        },
        // The next read of the configuration tries again.
        () => undefined,
      );
    },
  };
}
