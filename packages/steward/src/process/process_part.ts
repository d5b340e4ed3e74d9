import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import {
  dutiesReleased,
  releaseDuties,
  stepDuties,
} from "../fleet/duty_part.ts";
import { stepPlacement } from "../fleet/placement_part.ts";
import { sendDueExchanges } from "@lavenderferry/fleet";
import { applyUpdates, leaveFleet } from "../fleet/exchange_part.ts";
import {
  allBatchesSettled,
  settlePending,
} from "../settlement/settlement_part.ts";
import type { StewardState } from "../state.ts";
import type { ProcessEvent, TimerName } from "./process_event.ts";

/** Milliseconds between two runs of each periodic timer. */
export const timerPeriodsMs = {
  list_vms: 1_000,
  poll_configuration: 30_000,
  exchange: 100,
  settle: 2_000,
} as const satisfies Partial<Record<TimerName, number>>;

/** Milliseconds that a planned stop waits for usage and operators' replies. */
const stopTimeoutMs = 15_000;

type TimerHandler = (
  state: StewardState,
  at: Moment,
) => readonly StewardEffect[];

const timerHandlers: Readonly<Record<TimerName, TimerHandler>> = {
  list_vms: () => [{ kind: "list_vms" }],
  poll_configuration: () => [{ kind: "read_configuration" }],
  exchange: (state, at) => [
    ...sendDueExchanges(state, at),
    ...applyUpdates(state),
    ...stepDuties(state, at),
    ...stepPlacement(state, at),
    ...exitWhenIdle(state, at),
    scheduleTimer("exchange", at),
  ],
  settle: (state, at) => [
    ...settlePending(state, at),
    scheduleTimer("settle", at),
  ],
  force_exit: () => [{ kind: "exit", immediate: true }],
};

/** Handles the start, the timers and the stop of the process. */
export const processPart: EventHandlers<
  StewardState,
  ProcessEvent,
  StewardEffect
> = {
  started: (state, { at }) => [
    { kind: "list_vms" },
    { kind: "read_configuration" },
    ...timerHandlers.exchange(state, at),
    scheduleTimer("settle", at),
  ],
  timer_fired: (state, { timer, at }) => timerHandlers[timer](state, at),
  stop_requested: (state, { at }) => startStop(state, at),
  stop_signalled: (state, { at }) => {
    if (state.stopSignalled) {
      return [{ kind: "exit", immediate: true }];
    }
    state.stopSignalled = true;
    return startStop(state, at);
  },
};

/** Starts a planned stop unless one is in progress. */
function startStop(state: StewardState, at: Moment): readonly StewardEffect[] {
  if (state.stopping) {
    return [];
  }
  state.stopping = true;
  const forcedExitAt = at.monotonic + stopTimeoutMs;
  return [
    { kind: "set_timer", timer: "force_exit", at: forcedExitAt },
    ...leaveFleet(state, at),
    ...releaseDuties(state, at),
    ...settlePending(state, at),
  ];
}

/**
 * Exits once a stopping process has no duties, unsettled usage or unanswered
 * requests of operators.
 */
function exitWhenIdle(
  state: StewardState,
  at: Moment,
): readonly StewardEffect[] {
  const idle = state.stopping && dutiesReleased(state, at) &&
    allBatchesSettled(state) && state.openReplies.size === 0;
  return idle ? [{ kind: "exit", immediate: false }] : [];
}

function scheduleTimer(
  timer: keyof typeof timerPeriodsMs,
  at: Moment,
): StewardEffect {
  return { kind: "set_timer", timer, at: at.monotonic + timerPeriodsMs[timer] };
}
