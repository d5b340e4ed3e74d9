import type {
  EventHandlers,
  Moment,
  TimerHandlers,
} from "@lavenderferry/runtime";
import { createTimerHandler } from "@lavenderferry/runtime";
import { retryCommit } from "../calls/call_part.ts";
import { endOpenCalls } from "../calls/stopped_calls.ts";
import type { EntryEffect } from "../effects.ts";
import { exchangeWithPeers, leaveFleet } from "../fleet/exchange_part.ts";
import { cancelGeneration } from "../generations/generation_part.ts";
import {
  replaceSilentConnections,
  resumeGeneration,
} from "../generations/generation_recovery.ts";
import { releaseBacklog } from "../generations/generation_start.ts";
import { retryTakeOver } from "../generations/generation_take_over.ts";
import { handOverStreams } from "../generations/hand_over.ts";
import { endOpenGenerations } from "../generations/stopped_generations.ts";
import type { EntryState } from "../state.ts";
import { flushUsage } from "../usage/usage_part.ts";
import type { ProcessEvent } from "./process_event.ts";
import type { Timer } from "./timers.ts";
import { timerPeriodsMs } from "./timers.ts";

/** Handles the start, the timers and the planned stop of the process. */
export const lifecyclePart: EventHandlers<
  EntryState,
  ProcessEvent,
  EntryEffect
> = {
  started: (state, event) => {
    state.peerAddress = event.peerAddress;
    return [
      { kind: "list_vms" },
      { kind: "read_configuration", knownVersion: 0 },
      scheduleTimer("exchange", event.at),
      scheduleTimer("poll_load", event.at),
      scheduleTimer("poll_cache", event.at),
      scheduleTimer("flush_usage", event.at),
      scheduleTimer("release_backlog", event.at),
      scheduleTimer("check_progress", event.at),
    ];
  },
  timer_fired: (state, event) => handleTimer(state, event.timer, event.at),
  stop_requested: (state, { at }) => startDraining(state, at),
  stop_signalled: (state, { at }) => {
    if (state.stopSignalled) {
      return [{ kind: "exit", immediate: true }];
    }
    state.stopSignalled = true;
    return startDraining(state, at);
  },
};

/**
 * Milliseconds that non-streamed answers and call records have on top of
 * `stopMs` once the streams were handed over.
 */
const finalGraceMs = 10_000;

/**
 * Milliseconds before the forced exit in which the final answers are written
 * and the outcomes of calls recorded.
 */
const finalAnswersMs = 2_000;

const timerHandlers: TimerHandlers<EntryState, Timer, EntryEffect> = {
  list_vms: () => [{ kind: "list_vms" }],
  poll_configuration: (state) => [
    { kind: "read_configuration", knownVersion: state.timeline.latest.version },
  ],
  exchange: (state, _timer, at) => [
    ...exchangeWithPeers(state, at),
    scheduleTimer("exchange", at),
  ],
  poll_load: (state, _timer, at) => [
    ...readEngines(state, "read_load"),
    scheduleTimer("poll_load", at),
  ],
  poll_cache: (state, _timer, at) => [
    ...readEngines(state, "read_cache"),
    scheduleTimer("poll_cache", at),
  ],
  flush_usage: (state, _timer, at) => [
    ...flushUsage(state, at),
    scheduleTimer("flush_usage", at),
  ],
  release_backlog: (state, _timer, at) => [
    ...releaseBacklog(state, at),
    ...exitWhenIdle(state),
    scheduleTimer("release_backlog", at),
  ],
  check_progress: (state, _timer, at) => [
    ...replaceSilentConnections(state, at),
    scheduleTimer("check_progress", at),
  ],
  retry_take_over: (state, timer) => retryTakeOver(state, timer.generationId),
  retry_generation: (state, timer, at) => {
    const generation = state.generations.get(timer.generationId);
    return generation === undefined
      ? []
      : resumeGeneration(state, generation, at);
  },
  cancel_orphan: (state, timer, at) => {
    const generation = state.generations.get(timer.generationId);
    return generation?.readerId === null
      ? cancelGeneration(state, generation, at)
      : [];
  },
  retry_commit: (state, timer) => retryCommit(state, timer.callId),
  hand_over_streams: (state, _timer, at) => handOverStreams(state, at),
  end_open_requests: (state, _timer, at) => endOpenRequests(state, at),
  force_exit: () => [{ kind: "exit", immediate: true }],
};

const handleTimer = createTimerHandler(timerHandlers);

/** Schedules the next run of a periodic timer. */
function scheduleTimer(
  kind: keyof typeof timerPeriodsMs,
  at: Moment,
): EntryEffect {
  const dueAt = at.monotonic + timerPeriodsMs[kind];
  return { kind: "set_timer", timer: { kind }, at: dueAt };
}

function readEngines(
  state: EntryState,
  kind: "read_load" | "read_cache",
): readonly EntryEffect[] {
  return [...state.vms.values()]
    .filter((vm) => vm.role === "engine")
    .map(({ id, address }) => ({ kind, engine: id, address }));
}

/** Starts a planned stop unless one is in progress. */
function startDraining(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  if (state.stopping) {
    return [];
  }
  state.stopping = true;
  const { stopMs } = state.settings;
  const handOverAt = at.monotonic + stopMs;
  const finalAnswersAt = handOverAt + stopMs + finalGraceMs - finalAnswersMs;
  return [
    {
      kind: "log",
      part: "process",
      sentence: "Draining",
      fields: { generations: state.generations.size, calls: state.calls.size },
    },
    { kind: "set_timer", timer: { kind: "hand_over_streams" }, at: handOverAt },
    {
      kind: "set_timer",
      timer: { kind: "end_open_requests" },
      at: finalAnswersAt,
    },
    ...leaveFleet(state, at),
    ...flushUsage(state, at),
  ];
}

/** Sends the final answers of all open requests and schedules the exit. */
function endOpenRequests(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  const forcedExitAt = at.monotonic + finalAnswersMs;
  return [
    ...handOverStreams(state, at),
    ...endOpenGenerations(state, at),
    ...endOpenCalls(state, at),
    { kind: "set_timer", timer: { kind: "force_exit" }, at: forcedExitAt },
  ];
}

function exitWhenIdle(state: EntryState): readonly EntryEffect[] {
  const isIdle = state.generations.size === 0 && state.calls.size === 0 &&
    state.cancelled.size === 0 && state.usage.settled;
  return state.stopping && isIdle ? [{ kind: "exit", immediate: false }] : [];
}
