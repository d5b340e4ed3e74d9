import type {
  EventHandlers,
  Moment,
  TimerHandlers,
} from "@lavenderferry/runtime";
import { timerHandlerOf } from "@lavenderferry/runtime";
import { sendDue } from "@lavenderferry/fleet";
import { exchange } from "../fleet/exchange_part.ts";
import { learnUpstreams } from "../fleet/source_part.ts";
import { evacuate } from "../moves/move_part.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { ProcessEvent } from "../relay_event.ts";
import { pumpBacklogs } from "../requests/place_request.ts";
import { resumeAgain } from "../requests/answer_part.ts";
import { expireRequest } from "../requests/request_part.ts";
import type { RelayState } from "../state.ts";
import { decide } from "../util/effects.ts";
import type { TimerName } from "./timers.ts";
import { timerPeriods } from "./timers.ts";

/** Starts, timers and stops. */
export const lifecyclePart: EventHandlers<
  RelayState,
  ProcessEvent,
  RelayEffect
> = {
  started: (_state, { at }) => [
    { kind: "follow_routing" },
    { kind: "follow_upstreams" },
    { kind: "list_members" },
    { kind: "state_member", leaving: false },
    repeat("exchange", at),
    repeat("pump_backlog", at),
  ],
  timer_fired: (state, { timer, at }) => fire(state, timer, at),
  stop_requested: (state, { at }) => requestStop(state, at),
};

/**
 * Milliseconds without a request after which a stopping process ends: callers
 * keep an answer with its address for up to three times its lifetime.
 */
const quietMs = 2_500;

/** Milliseconds for which a stopping process takes requests in any case. */
const leastStopMs = 3_000;

const timerHandlers: TimerHandlers<RelayState, TimerName, RelayEffect> = {
  exchange: (state, _timer, at) => [
    ...exchange(state, at),
    repeat("exchange", at),
  ],
  pump_backlog: (state, _timer, at) => [
    ...pumpBacklogs(state, at),
    repeat("pump_backlog", at),
  ],
  follow_upstreams: () => [{ kind: "follow_upstreams" }],
  follow_routing: () => [{ kind: "follow_routing" }],
  list_members: () => [{ kind: "list_members" }],
  state_member: (state) => [
    { kind: "state_member", leaving: state.stopping },
  ],
  confirm_removals: (state, _timer, at) => {
    const { unconfirmed } = state;
    return unconfirmed === null || at.monotonic < state.keepMissingUntil
      ? []
      : learnUpstreams(state, unconfirmed, at);
  },
  request_deadline: (state, { exchangeId }, at) =>
    expireRequest(state, exchangeId, at),
  evacuate: (state, { exchangeId }, at) => evacuate(state, exchangeId, at),
  resume_again: (state, { exchangeId }, at) =>
    resumeAgain(state, exchangeId, at),
  check_stop: (state, _timer, at) => checkStop(state, at),
};

const fire = timerHandlerOf(timerHandlers);

function repeat(kind: keyof typeof timerPeriods, at: Moment): RelayEffect {
  const due = at.monotonic + timerPeriods[kind];
  return { kind: "set_timer", timer: { kind }, at: due };
}

function requestStop(state: RelayState, at: Moment): readonly RelayEffect[] {
  if (state.stopping) {
    return [];
  }
  state.stopping = true;
  state.stopDeadline = at.monotonic + state.settings.stopMs;
  state.lastRequestAt = at.monotonic;
  state.fleet.leave(at);
  return [
    decide(state, {
      kind: "member",
      subject: state.settings.vm,
      reason: "leaving",
      figures: { requests: state.requests.size },
    }, at),
    { kind: "state_member", leaving: true },
    { kind: "close_callers" },
    ...sendDue(state, at),
    repeat("check_stop", at),
  ];
}

/** Ends the process once nothing runs and nothing more comes in. */
function checkStop(state: RelayState, at: Moment): readonly RelayEffect[] {
  const now = at.monotonic;
  const stoppedAt = state.stopDeadline - state.settings.stopMs;
  const quiet = now - state.lastRequestAt >= quietMs &&
    now - stoppedAt >= leastStopMs && state.requests.size === 0;
  return quiet || now >= state.stopDeadline
    ? [{ kind: "exit" }]
    : [repeat("check_stop", at)];
}
