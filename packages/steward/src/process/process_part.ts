import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import { dutiesGivenUp, stepDuties, stopDuties } from "../fleet/duty_part.ts";
import { stepPlacement } from "../fleet/placement_part.ts";
import { sendDue } from "@lavenderferry/fleet";
import { applyNews, leaveFleet } from "../fleet/exchange_part.ts";
import { holdsNothing, settlePending } from "../settlement/settlement_part.ts";
import type { StewardState } from "../state.ts";
import type { ProcessEvent, TimerName } from "./process_event.ts";

/** Milliseconds between two runs of the periodic timers. */
export const timerPeriods = {
  list_vms: 1_000,
  poll_configuration: 30_000,
  exchange: 100,
  settle: 2_000,
} as const satisfies Partial<Record<TimerName, number>>;

/** Milliseconds that a planned stop waits for usage to be settled. */
const stopMs = 15_000;

type TimerHandler = (
  state: StewardState,
  at: Moment,
) => readonly StewardEffect[];

const timerHandlers: Readonly<Record<TimerName, TimerHandler>> = {
  list_vms: () => [{ kind: "list_vms" }],
  poll_configuration: () => [{ kind: "read_latest" }],
  exchange: (state, at) => [
    ...sendDue(state, at),
    ...applyNews(state),
    ...stepDuties(state, at),
    ...stepPlacement(state, at),
    ...exitWhenDone(state, at),
    again("exchange", at),
  ],
  settle: (state, at) => [
    ...settlePending(state, at),
    again("settle", at),
  ],
  stop_deadline: () => [{ kind: "exit" }],
};

/** Starts, timers and stops. */
export const processPart: EventHandlers<
  StewardState,
  ProcessEvent,
  StewardEffect
> = {
  started: (state, { at }) => [
    { kind: "list_vms" },
    { kind: "read_latest" },
    ...timerHandlers.exchange(state, at),
    again("settle", at),
  ],
  timer_fired: (state, { timer, at }) => timerHandlers[timer](state, at),
  stop_requested: (state, { at }) => {
    if (state.stopping) {
      return [{ kind: "exit" }];
    }
    state.stopping = true;
    const due = at.monotonic + stopMs;
    return [
      { kind: "set_timer", timer: "stop_deadline", at: due },
      ...leaveFleet(state, at),
      ...stopDuties(state, at),
      ...settlePending(state, at),
    ];
  },
};

/** Ends a stopping process that holds neither duties nor usage. */
function exitWhenDone(
  state: StewardState,
  at: Moment,
): readonly StewardEffect[] {
  const done = state.stopping && dutiesGivenUp(state, at) &&
    holdsNothing(state);
  return done ? [{ kind: "exit" }] : [];
}

function again(timer: keyof typeof timerPeriods, at: Moment): StewardEffect {
  return { kind: "set_timer", timer, at: at.monotonic + timerPeriods[timer] };
}
