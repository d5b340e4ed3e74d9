import type { Vm } from "@lavenderferry/platform";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { releaseBacklog } from "../generations/generation_start.ts";
import { timerPeriodsMs } from "../process/timers.ts";
import { count } from "../util/effects.ts";
import { applyUpdates, exchangePart, markEngine } from "./exchange_part.ts";
import type { FleetEvent } from "./fleet_event.ts";

/** Milliseconds between VM listings for each VM listed. */
const listDelayMsPerVm = 10;

/** Milliseconds between configuration reads until one is known. */
const initialPollMs = 1_000;

/** Relative jitter of the period between configuration reads. */
const pollJitter = 0.3;

/** Tracks upstreams, their load and the configuration. */
export const fleetPart: EventHandlers<
  EntryState,
  FleetEvent,
  EntryEffect
> = {
  ...exchangePart,
  vms_listed: (state, event) => {
    updateVms(state, event.vms, event.at);
    return [
      ...applyUpdates(state, event.at),
      ...releaseBacklog(state, event.at),
      scheduleVmListing(event.vms.length, event.at),
    ];
  },
  vm_listing_failed: (_state, event) => [
    count("retries", "vm_list"),
    scheduleVmListing(0, event.at),
  ],
  load_reported: (state, event) => {
    state.dispatcher.loadReported(event.engine, event.report, event.at);
    return event.report.draining
      ? markEngine(state, event.engine, { reason: "draining", at: event.at })
      : releaseBacklog(state, event.at);
  },
  load_report_failed: (state, event) => {
    state.dispatcher.loadReportFailed(event.engine, event.at);
    return [count("retries", "load_report")];
  },
  cache_changed: (state, event) => {
    state.dispatcher.cacheChanged(event.engine, event.change);
    return [];
  },
  configuration_read: (state, event) => {
    state.timeline.add(event.configuration);
    state.fleet.applyConfiguration(event.configuration);
    state.configurationKnown = true;
    return [scheduleConfigurationRead(state, event.at)];
  },
  configuration_read_failed: (state, event) => [
    count("retries", event.error),
    scheduleConfigurationRead(state, event.at),
  ],
};

function updateVms(state: EntryState, vms: readonly Vm[], at: Moment): void {
  const next = new Map(vms.map((vm) => [vm.id, vm]));
  for (const [id, vm] of state.vms) {
    const { state: vmState } = next.get(id) ?? { state: "gone" };
    if (vm.role === "engine" && vmState !== "live") {
      state.dispatcher.removeEngine(id);
    }
  }
  state.fleet.applyVmList(vms, at);
  for (const vm of vms) {
    const isMarked = state.fleet.marks.get(vm.id) !== undefined;
    if (vm.role === "engine" && vm.state === "live" && !isMarked) {
      const { id, dataCentre, pool = "" } = vm;
      state.dispatcher.addEngine({ id, dataCentre, pool }, at);
    }
  }
  state.vms = next;
  state.vmsKnown = true;
}

/** Schedules the next VM listing, later for more VMs to bound the traffic. */
function scheduleVmListing(vmCount: number, at: Moment): EntryEffect {
  const delayMs = Math.max(
    timerPeriodsMs.list_vms,
    vmCount * listDelayMsPerVm,
  );
  const timer = { kind: "list_vms" } as const;
  return { kind: "set_timer", timer, at: at.monotonic + delayMs };
}

/** Reads the table less often once a version is known; peers push changes. */
function scheduleConfigurationRead(state: EntryState, at: Moment): EntryEffect {
  const periodMs = state.configurationKnown
    ? timerPeriodsMs.poll_configuration
    : initialPollMs;
  const delayMs = state.random.jitter(periodMs, pollJitter);
  const timer = { kind: "poll_configuration" } as const;
  return { kind: "set_timer", timer, at: at.monotonic + delayMs };
}
