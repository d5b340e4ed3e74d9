import type { EventHandlers } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import type { StewardState } from "../state.ts";
import type { ProcessEvent, TimerName } from "./process_event.ts";

/** Milliseconds between two runs of the periodic timers. */
export const timerPeriods: Readonly<Record<TimerName, number>> = {
  list_vms: 1_000,
  poll_configuration: 1_000,
};

const timerEffects: Readonly<Record<TimerName, StewardEffect>> = {
  list_vms: { kind: "list_vms" },
  poll_configuration: { kind: "read_latest" },
};

/** Starts, timers and stops. */
export const processPart: EventHandlers<
  StewardState,
  ProcessEvent,
  StewardEffect
> = {
  started: () => [{ kind: "list_vms" }, { kind: "read_latest" }],
  timer_fired: (_state, { timer }) => [timerEffects[timer]],
  stop_requested: () => [{ kind: "exit" }],
};
