import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import { retryRecord } from "../calls/call_part.ts";
import type { EntryEffect } from "../effects.ts";
import { cancelGeneration } from "../generations/generation_part.ts";
import { retryGeneration } from "../generations/generation_recovery.ts";
import { pumpBacklog } from "../generations/generation_start.ts";
import type { EntryState } from "../state.ts";
import { flushUsage } from "../usage/usage_part.ts";
import type { ProcessEvent } from "./process_event.ts";
import type { TimerName } from "./timers.ts";
import { timerPeriods } from "./timers.ts";

/** Starts, timers and stops. */
export const lifecyclePart: EventHandlers<
  EntryState,
  ProcessEvent,
  EntryEffect
> = {
  started: (_state, event) => [
    { kind: "list_vms" },
    { kind: "read_configuration", known: 0 },
    repeat("poll_load", event.at),
    repeat("poll_cache", event.at),
    repeat("flush_usage", event.at),
    repeat("pump_backlog", event.at),
  ],
  timer_fired: (state, event) => fire(state, event.timer, event.at),
  stop_requested: requestStop,
};

type TimerHandlers = {
  readonly [Kind in TimerName["kind"]]: (
    state: EntryState,
    timer: Extract<TimerName, { kind: Kind }>,
    at: Moment,
  ) => readonly EntryEffect[];
};

const timerHandlers: TimerHandlers = {
  list_vms: () => [{ kind: "list_vms" }],
  poll_configuration: (state) => [
    { kind: "read_configuration", known: state.timeline.latest.version },
  ],
  poll_load: (state, _timer, at) => [
    ...readEngines(state, "read_load"),
    repeat("poll_load", at),
  ],
  poll_cache: (state, _timer, at) => [
    ...readEngines(state, "read_cache"),
    repeat("poll_cache", at),
  ],
  flush_usage: (state, _timer, at) => [
    ...flushUsage(state),
    repeat("flush_usage", at),
  ],
  pump_backlog: (state, _timer, at) => [
    ...pumpBacklog(state, at),
    ...exitWhenDone(state),
    repeat("pump_backlog", at),
  ],
  retry_generation: (state, timer) => {
    const generation = state.generations.get(timer.generationId);
    return generation === undefined ? [] : retryGeneration(state, generation);
  },
  cancel_orphan: (state, timer, at) => {
    const generation = state.generations.get(timer.generationId);
    return generation?.readerId === null
      ? cancelGeneration(state, generation, at)
      : [];
  },
  retry_record: (state, timer, at) => retryRecord(state, timer.callId, at),
  stop_deadline: () => [{ kind: "exit" }],
};

function fire(
  state: EntryState,
  timer: TimerName,
  at: Moment,
): readonly EntryEffect[] {
  const handler = timerHandlers[timer.kind] as (
    state: EntryState,
    timer: TimerName,
    at: Moment,
  ) => readonly EntryEffect[];
  return handler(state, timer, at);
}

function repeat(kind: keyof typeof timerPeriods, at: Moment): EntryEffect {
  const due = at.monotonic + timerPeriods[kind];
  return { kind: "set_timer", timer: { kind }, at: due };
}

function readEngines(
  state: EntryState,
  kind: "read_load" | "read_cache",
): readonly EntryEffect[] {
  return [...state.vms.values()]
    .filter((vm) => vm.role === "engine")
    .map(({ id, address }) => ({ kind, engine: id, address }));
}

function requestStop(
  state: EntryState,
  event: Timed<Extract<ProcessEvent, { kind: "stop_requested" }>>,
): readonly EntryEffect[] {
  if (state.stopping) {
    return [{ kind: "exit" }];
  }
  state.stopping = true;
  const due = event.at.monotonic + state.settings.stopMs;
  return [
    {
      kind: "log",
      sentence: "Draining",
      fields: { generations: state.generations.size, calls: state.calls.size },
    },
    { kind: "set_timer", timer: { kind: "stop_deadline" }, at: due },
    ...flushUsage(state),
  ];
}

function exitWhenDone(state: EntryState): readonly EntryEffect[] {
  const idle = state.generations.size === 0 && state.calls.size === 0 &&
    state.cancelled.size === 0 && state.usage.settled;
  return state.stopping && idle ? [{ kind: "exit" }] : [];
}
