import type { Vm } from "@lavenderferry/platform";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import { timerPeriodsMs } from "../process/process_part.ts";
import type { StewardState } from "../state.ts";
import { exchangePart } from "./exchange_part.ts";
import type { FleetEvent } from "./fleet_event.ts";

/** Milliseconds between VM listings for each VM listed. */
const listDelayMsPerVm = 10;

/** Milliseconds between configuration reads until one is known. */
const initialPollMs = 1_000;

/** Relative jitter of the period between configuration reads. */
const pollJitter = 0.3;

/** Keeps the VM list and the configuration up to date. */
export const fleetPart: EventHandlers<
  StewardState,
  FleetEvent,
  StewardEffect
> = {
  ...exchangePart,
  vms_listed: (state, event) => {
    state.vms = event.vms;
    state.pools = listEnginePools(event.vms);
    removeStaleOrders(state);
    state.firstVmListAt ??= event.at.monotonic;
    state.fleet.applyVmList(event.vms, event.at);
    return [scheduleVmListing(event.vms.length, event.at)];
  },
  vm_listing_failed: (_state, event) => [scheduleVmListing(0, event.at)],
  configuration_read: (state, event) => {
    state.timeline.add(event.configuration);
    state.fleet.applyConfiguration(event.configuration);
    state.configurationKnown = true;
    const isLost = event.configuration.version < state.timeline.latest.version;
    return [
      ...isLost ? [writeConfigurationsAgain(state)] : [],
      scheduleConfigurationRead(state, event.at),
    ];
  },
  configurations_written_again: (_state, { versions }) =>
    versions.length === 0 ? [] : [{
      kind: "log",
      part: "fleet",
      sentence: "Wrote configurations again that the table had lost",
      fields: { versions: versions.join(",") },
    }],
  configuration_read_failed: (
    state,
    event,
  ) => [scheduleConfigurationRead(state, event.at)],
};

/**
 * Writes the known configurations again. The table has lost the latest of them
 * if it was restored from an older copy; they stay in force.
 */
export function writeConfigurationsAgain(
  { timeline }: StewardState,
): StewardEffect {
  const configurations = timeline.versions;
  return { kind: "write_configurations_again", configurations };
}

function removeStaleOrders(state: StewardState): void {
  const ids = new Set(state.vms.map(({ id }) => id));
  for (const engine of state.confirmedOrders.keys()) {
    if (!ids.has(engine)) {
      state.confirmedOrders.delete(engine);
    }
  }
}

function listEnginePools(vms: readonly Vm[]): readonly string[] {
  const names = vms.flatMap(({ role, pool }) =>
    role === "engine" && pool !== undefined ? [pool] : []
  );
  return [...new Set(names)].sort();
}

/** Schedules the next VM listing, later for more VMs to bound the traffic. */
function scheduleVmListing(vmCount: number, at: Moment): StewardEffect {
  const delayMs = Math.max(timerPeriodsMs.list_vms, vmCount * listDelayMsPerVm);
  return { kind: "set_timer", timer: "list_vms", at: at.monotonic + delayMs };
}

/** Reads the table less often once a version is known; peers push changes. */
function scheduleConfigurationRead(
  state: StewardState,
  at: Moment,
): StewardEffect {
  const periodMs = state.configurationKnown
    ? timerPeriodsMs.poll_configuration
    : initialPollMs;
  const delayMs = state.random.jitter(periodMs, pollJitter);
  return {
    kind: "set_timer",
    timer: "poll_configuration",
    at: at.monotonic + delayMs,
  };
}
