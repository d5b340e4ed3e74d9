import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import { holdsNothing, settlePending } from "../settlement/settlement_part.ts";
import type { StewardState } from "../state.ts";
import type { ProcessEvent, TimerName } from "./process_event.ts";

/** Milliseconds between two runs of the periodic timers. */
export const timerPeriods = {
  list_vms: 1_000,
  poll_configuration: 1_000,
  settle: 2_000,
} as const satisfies Partial<Record<TimerName, number>>;

/** Milliseconds that a planned stop waits for usage to be settled. */
const stopMs = 15_000;

const timerHandlers: Readonly<
  Record<
    TimerName,
    (state: StewardState, at: Moment) => readonly StewardEffect[]
  >
> = {
  list_vms: () => [{ kind: "list_vms" }],
  poll_configuration: () => [{ kind: "read_latest" }],
  settle: (state, at) => [
    ...settlePending(state, at),
    ...exitWhenSettled(state),
    settleAgain(at),
  ],
  stop_deadline: () => [{ kind: "exit" }],
};

/** Starts, timers and stops. */
export const processPart: EventHandlers<
  StewardState,
  ProcessEvent,
  StewardEffect
> = {
  started: (_state, { at }) => [
    { kind: "list_vms" },
    { kind: "read_latest" },
    settleAgain(at),
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
      ...settlePending(state, at),
      ...exitWhenSettled(state),
    ];
  },
};

/** Batches that others lose with this process are settled before its end. */
function exitWhenSettled(state: StewardState): readonly StewardEffect[] {
  return state.stopping && holdsNothing(state) ? [{ kind: "exit" }] : [];
}

function settleAgain(at: Moment): StewardEffect {
  const due = at.monotonic + timerPeriods.settle;
  return { kind: "set_timer", timer: "settle", at: due };
}
