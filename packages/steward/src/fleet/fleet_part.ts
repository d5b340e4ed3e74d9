import type { Vm } from "@lavenderferry/platform";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import { timerPeriods } from "../process/process_part.ts";
import type { StewardState } from "../state.ts";
import { exchangePart } from "./exchange_part.ts";
import type { FleetEvent } from "./fleet_event.ts";

/** Milliseconds between reads of the list, per VM on it; bounds their bytes. */
const listDelayMsPerVm = 10;

/** Milliseconds between reads while the configuration is not known. */
const initialPollMs = 1_000;

/** Share by which the delay between reads varies. */
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
  vms_failed: (_state, event) => [scheduleVmListing(0, event.at)],
  configuration_learned: (state, event) => {
    state.timeline.add(event.configuration);
    state.fleet.applyConfiguration(event.configuration);
    state.configurationKnown = true;
    return [scheduleConfigurationRead(state, event.at)];
  },
  configuration_failed: (
    state,
    event,
  ) => [scheduleConfigurationRead(state, event.at)],
};

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

/** The delay grows with the list, so that the bytes per second are bounded. */
function scheduleVmListing(vms: number, at: Moment): StewardEffect {
  const delayMs = Math.max(timerPeriods.list_vms, vms * listDelayMsPerVm);
  return { kind: "set_timer", timer: "list_vms", at: at.monotonic + delayMs };
}

/** The table is read less often once a version is known: peers send changes. */
function scheduleConfigurationRead(
  state: StewardState,
  at: Moment,
): StewardEffect {
  const periodMs = state.configurationKnown
    ? timerPeriods.poll_configuration
    : initialPollMs;
  const delayMs = state.random.jitter(periodMs, pollJitter);
  return {
    kind: "set_timer",
    timer: "poll_configuration",
    at: at.monotonic + delayMs,
  };
}
