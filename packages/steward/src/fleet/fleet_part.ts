import type { Vm } from "@lavenderferry/platform";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import { timerPeriods } from "../process/process_part.ts";
import type { StewardState } from "../state.ts";
import { exchangePart } from "./exchange_part.ts";
import type { FleetEvent } from "./fleet_event.ts";

/** Milliseconds of waiting for each VM of the list. */
const listMsPerVm = 10;

/** Milliseconds between reads while the configuration is not known. */
const joiningPollMs = 1_000;

/** Share by which the period of reads varies. */
const pollJitter = 0.3;

/** Keeps the list of VMs and the configuration. */
export const fleetPart: EventHandlers<
  StewardState,
  FleetEvent,
  StewardEffect
> = {
  ...exchangePart,
  vms_listed: (state, event) => {
    state.vms = event.vms;
    state.pools = poolsOf(event.vms);
    forgetOrders(state);
    state.joinedAt ??= event.at.monotonic;
    state.fleet.learnVms(event.vms, event.at);
    return [listAgain(event.vms.length, event.at)];
  },
  vms_failed: (_state, event) => [listAgain(0, event.at)],
  configuration_learned: (state, event) => {
    state.timeline.learn(event.configuration);
    state.fleet.learnConfiguration(event.configuration);
    state.configurationKnown = true;
    return [pollAgain(state, event.at)];
  },
  configuration_failed: (state, event) => [pollAgain(state, event.at)],
};

function forgetOrders(state: StewardState): void {
  const ids = new Set(state.vms.map(({ id }) => id));
  for (const engine of state.ordered.keys()) {
    if (!ids.has(engine)) {
      state.ordered.delete(engine);
    }
  }
}

function poolsOf(vms: readonly Vm[]): readonly string[] {
  const names = vms.flatMap(({ role, pool }) =>
    role === "engine" && pool !== undefined ? [pool] : []
  );
  return [...new Set(names)].sort();
}

/** Waits longer for a longer list, so that its bytes stay bounded. */
function listAgain(vms: number, at: Moment): StewardEffect {
  const wait = Math.max(timerPeriods.list_vms, vms * listMsPerVm);
  return { kind: "set_timer", timer: "list_vms", at: at.monotonic + wait };
}

/** Reads the table slowly once the version is known; peers push changes. */
function pollAgain(state: StewardState, at: Moment): StewardEffect {
  const period = state.configurationKnown
    ? timerPeriods.poll_configuration
    : joiningPollMs;
  const wait = state.random.jitter(period, pollJitter);
  return {
    kind: "set_timer",
    timer: "poll_configuration",
    at: at.monotonic + wait,
  };
}
