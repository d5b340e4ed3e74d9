import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import { timerPeriods } from "../process/process_part.ts";
import type { StewardState } from "../state.ts";
import type { FleetEvent } from "./fleet_event.ts";

/** Keeps the list of VMs and the configuration. */
export const fleetPart: EventHandlers<
  StewardState,
  FleetEvent,
  StewardEffect
> = {
  vms_listed: (state, event) => {
    state.vms = event.vms;
    return [again("list_vms", event.at)];
  },
  vms_failed: (_state, event) => [again("list_vms", event.at)],
  configuration_learned: (state, event) => {
    state.timeline.learn(event.configuration);
    state.configurationKnown = true;
    return [again("poll_configuration", event.at)];
  },
  configuration_failed: (_state, event) => [
    again("poll_configuration", event.at),
  ],
};

function again(
  timer: keyof typeof timerPeriods,
  at: Moment,
): StewardEffect {
  return { kind: "set_timer", timer, at: at.monotonic + timerPeriods[timer] };
}
