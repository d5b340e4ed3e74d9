import type { Vm } from "@lavenderferry/platform";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { pumpBacklog } from "../generations/generation_start.ts";
import { timerPeriods } from "../process/timers.ts";
import { count } from "../util/effects.ts";
import { applyNews, exchangePart, markEngine } from "./exchange_part.ts";
import type { FleetEvent } from "./fleet_event.ts";

/** Milliseconds of waiting for each VM of the list. */
const listMsPerVm = 10;

/** Milliseconds between reads while the configuration is not known. */
const joiningPollMs = 1_000;

/** Share by which the period of reads varies. */
const pollJitter = 0.3;

/** Keeps what the entry knows of upstreams and the configuration. */
export const fleetPart: EventHandlers<
  EntryState,
  FleetEvent,
  EntryEffect
> = {
  ...exchangePart,
  vms_listed: (state, event) => {
    learnVms(state, event.vms, event.at);
    return [
      ...applyNews(state, event.at),
      ...pumpBacklog(state, event.at),
      listAgain(event.vms.length, event.at),
    ];
  },
  vms_failed: (_state, event) => [
    count("retries", "vm_list"),
    listAgain(0, event.at),
  ],
  load_reported: (state, event) => {
    state.dispatcher.report(event.engine, event.report, event.at);
    return event.report.draining
      ? markEngine(state, event.engine, { reason: "draining", at: event.at })
      : pumpBacklog(state, event.at);
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
    state.fleet.learnConfiguration(event.configuration);
    state.configurationKnown = true;
    return [pollAgain(state, event.at)];
  },
  configuration_failed: (state, event) => [
    count("retries", event.error),
    pollAgain(state, event.at),
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
  state.fleet.learnVms(vms, at);
  for (const vm of vms) {
    const marked = state.fleet.marks.get(vm.id) !== undefined;
    if (vm.role === "engine" && vm.state === "live" && !marked) {
      const { id, dataCentre, pool = "" } = vm;
      state.dispatcher.addEngine({ id, dataCentre, pool }, at);
    }
  }
  state.vms = next;
  state.vmsKnown = true;
}

/** Waits longer for a longer list, so that its bytes stay bounded. */
function listAgain(vms: number, at: Moment): EntryEffect {
  const wait = Math.max(timerPeriods.list_vms, vms * listMsPerVm);
  const timer = { kind: "list_vms" } as const;
  return { kind: "set_timer", timer, at: at.monotonic + wait };
}

/** Reads the table slowly once the version is known; peers push changes. */
function pollAgain(state: EntryState, at: Moment): EntryEffect {
  const period = state.configurationKnown
    ? timerPeriods.poll_configuration
    : joiningPollMs;
  const wait = state.random.jitter(period, pollJitter);
  const timer = { kind: "poll_configuration" } as const;
  return { kind: "set_timer", timer, at: at.monotonic + wait };
}
