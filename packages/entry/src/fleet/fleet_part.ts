import type { Vm } from "@lavenderferry/platform";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { pumpBacklog } from "../generations/generation_start.ts";
import { timerPeriods } from "../process/timers.ts";
import { count } from "../util/effects.ts";
import type { FleetEvent } from "./fleet_event.ts";

/** Keeps what the entry knows of upstreams and the configuration. */
export const fleetPart: EventHandlers<
  EntryState,
  FleetEvent,
  EntryEffect
> = {
  vms_listed: (state, event) => {
    learnVms(state, event.vms, event.at);
    return [...pumpBacklog(state, event.at), again("list_vms", event.at)];
  },
  vms_failed: (_state, event) => [
    count("retries", "vm_list"),
    again("list_vms", event.at),
  ],
  load_reported: (state, event) => {
    state.dispatcher.report(event.engine, event.report, event.at);
    return pumpBacklog(state, event.at);
  },
  load_failed: (state, event) => {
    state.dispatcher.reportFailed(event.engine, event.at);
    return [count("retries", "load_report")];
  },
  cache_changed: (state, event) => {
    state.dispatcher.cacheChanged(event.engine, event.change);
    return [];
  },
  configuration_learned: (state, event) => {
    state.timeline.learn(event.configuration);
    state.configurationKnown = true;
    return [again("poll_configuration", event.at)];
  },
  configuration_failed: (_state, event) => [
    count("retries", event.error),
    again("poll_configuration", event.at),
  ],
};

function learnVms(state: EntryState, vms: readonly Vm[], at: Moment): void {
  const next = new Map(vms.map((vm) => [vm.id, vm]));
  for (const [id, vm] of state.vms) {
    const { state: phase } = next.get(id) ?? { state: "gone" };
    if (vm.role === "engine" && phase !== "live") {
      state.dispatcher.removeEngine(id);
    }
  }
  for (const vm of vms) {
    if (vm.role === "engine" && vm.state === "live") {
      const { id, dataCentre, pool = "" } = vm;
      state.dispatcher.addEngine({ id, dataCentre, pool }, at);
    }
  }
  state.vms = next;
  state.vmsKnown = true;
}

function again(
  kind: "list_vms" | "poll_configuration",
  at: Moment,
): EntryEffect {
  const due = at.monotonic + timerPeriods[kind];
  return { kind: "set_timer", timer: { kind }, at: due };
}
