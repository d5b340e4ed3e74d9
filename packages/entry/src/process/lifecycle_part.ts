import type {
  EventHandlers,
  Moment,
  Timed,
  TimerHandlers,
} from "@lavenderferry/runtime";
import { timerHandlerOf } from "@lavenderferry/runtime";
import { retryRecord } from "../calls/call_part.ts";
import type { EntryEffect } from "../effects.ts";
import { exchange, leaveFleet } from "../fleet/exchange_part.ts";
import { cancelGeneration } from "../generations/generation_part.ts";
import {
  retryGeneration,
  watchProgress,
} from "../generations/generation_recovery.ts";
import {
  forgetGeneration,
  pumpBacklog,
} from "../generations/generation_start.ts";
import { retryTakeOver } from "../generations/generation_take_over.ts";
import type { EntryState } from "../state.ts";
import { count } from "../util/effects.ts";
import { otherAddresses } from "../util/refuse_draining.ts";
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
  started: (state, event) => {
    state.carrier = event.peers;
    return [
      { kind: "list_vms" },
      { kind: "read_configuration", known: 0 },
      repeat("exchange", event.at),
      repeat("poll_load", event.at),
      repeat("poll_cache", event.at),
      repeat("flush_usage", event.at),
      repeat("pump_backlog", event.at),
      repeat("watch_progress", event.at),
    ];
  },
  timer_fired: (state, event) => fire(state, event.timer, event.at),
  stop_requested: requestStop,
};

/** Milliseconds for whole answers and records beyond the stop deadline. */
const finalStopMs = 10_000;

const timerHandlers: TimerHandlers<EntryState, TimerName, EntryEffect> = {
  list_vms: () => [{ kind: "list_vms" }],
  poll_configuration: (state) => [
    { kind: "read_configuration", known: state.timeline.latest.version },
  ],
  exchange: (state, _timer, at) => [
    ...exchange(state, at),
    repeat("exchange", at),
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
    ...flushUsage(state, at),
    repeat("flush_usage", at),
  ],
  pump_backlog: (state, _timer, at) => [
    ...pumpBacklog(state, at),
    ...exitWhenDone(state),
    repeat("pump_backlog", at),
  ],
  watch_progress: (state, _timer, at) => [
    ...watchProgress(state, at),
    repeat("watch_progress", at),
  ],
  retry_take_over: (state, timer) => retryTakeOver(state, timer.generationId),
  retry_generation: (state, timer, at) => {
    const generation = state.generations.get(timer.generationId);
    return generation === undefined
      ? []
      : retryGeneration(state, generation, at);
  },
  cancel_orphan: (state, timer, at) => {
    const generation = state.generations.get(timer.generationId);
    return generation?.readerId === null
      ? cancelGeneration(state, generation, at)
      : [];
  },
  retry_record: (state, timer) => retryRecord(state, timer.callId),
  stop_deadline: (state, _timer, at) => handOverStreams(state, at),
  stop_limit: () => [{ kind: "exit", now: true }],
};

const fire = timerHandlerOf(timerHandlers);

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
    return [{ kind: "exit", now: true }];
  }
  state.stopping = true;
  const { stopMs } = state.settings;
  const due = event.at.monotonic + stopMs;
  const limit = due + stopMs + finalStopMs;
  return [
    {
      kind: "log",
      part: "process",
      sentence: "Draining",
      fields: { generations: state.generations.size, calls: state.calls.size },
    },
    { kind: "set_timer", timer: { kind: "stop_deadline" }, at: due },
    { kind: "set_timer", timer: { kind: "stop_limit" }, at: limit },
    ...leaveFleet(state, event.at),
    ...flushUsage(state, event.at),
  ];
}

/** Leaves the streams whose readers can continue at another entry. */
function handOverStreams(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  const addresses = otherAddresses(state, at);
  const effects: EntryEffect[] = [];
  for (const generation of [...state.generations.values()]) {
    const { readerId, attemptId, deliveredIndex, whole } = generation;
    if (whole || deliveredIndex === 0) {
      continue;
    }
    forgetGeneration(state, generation);
    effects.push(count("resumes", "handed_over"));
    effects.push({ kind: "drop_attempt", attemptId });
    if (readerId !== null) {
      effects.push({ kind: "move_reader", readerId, addresses });
    }
  }
  return effects;
}

function exitWhenDone(state: EntryState): readonly EntryEffect[] {
  const idle = state.generations.size === 0 && state.calls.size === 0 &&
    state.cancelled.size === 0 && state.usage.settled;
  return state.stopping && idle ? [{ kind: "exit", now: false }] : [];
}
