import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import {
  exitWhenReleased,
  stepDuties,
  stopDuties,
} from "../fleet/duty_part.ts";
import { stepPlacement } from "../fleet/placement_part.ts";
import { applyNews, leaveFleet, sendDue } from "../fleet/exchange_part.ts";
import type { StewardState } from "../state.ts";
import type { ProcessEvent, TimerName } from "./process_event.ts";

/** Milliseconds between two runs of the periodic timers. */
export const timerPeriods: Readonly<Record<TimerName, number>> = {
  list_vms: 1_000,
  poll_configuration: 30_000,
  exchange: 100,
};

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
    ...exitWhenReleased(state, at),
    {
      kind: "set_timer",
      timer: "exchange",
      at: at.monotonic + timerPeriods.exchange,
    },
  ],
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
  ],
  timer_fired: (state, { timer, at }) => timerHandlers[timer](state, at),
  stop_requested: (state, { at }) =>
    state.stopAt === null
      ? [...leaveFleet(state, at), ...stopDuties(state, at)]
      : [{ kind: "exit" }],
};
