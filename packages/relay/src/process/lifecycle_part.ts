import type {
  EventHandlers,
  Moment,
  TimerHandlers,
} from "@lavenderferry/runtime";
import { createTimerHandler } from "@lavenderferry/runtime";
import { sendDueExchanges } from "@lavenderferry/fleet";
import { exchangeWithPeers } from "../fleet/exchange_part.ts";
import { applyUpstreams, listMembersIfDue } from "../fleet/source_part.ts";
import { readIfDue, startRead } from "../fleet/store_reads.ts";
import { continueProbes } from "../forwarding/forwarding_part.ts";
import { depart } from "../moves/move_part.ts";
import { checkEngine } from "../quarantine/quarantine_part.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { ProcessEvent } from "../relay_event.ts";
import { askForQueues } from "../reports/ask_engines.ts";
import { placeOverdue } from "../reports/report_part.ts";
import {
  dropRequest,
  releaseBacklogs,
  scheduleRelease,
} from "../requests/place_request.ts";
import { retryStop } from "../moves/stop_part.ts";
import { retryResumption } from "../requests/answer_part.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import { expireRequest, finalAnswerMs } from "../requests/request_part.ts";
import {
  refuseAllUnconfirmed,
  refuseUnconfirmed,
} from "../requests/unconfirmed_request.ts";
import type { RelayState } from "../state.ts";
import { recordDecision } from "../util/effects.ts";
import type { RelayTimer } from "./timers.ts";
import { timerPeriodsMs } from "./timers.ts";

/** Handles the start of the process, its timers and its planned stop. */
export const lifecyclePart: EventHandlers<
  RelayState,
  ProcessEvent,
  RelayEffect
> = {
  started: (state, { at }) => [
    startRead(state, "routing", at),
    startRead(state, "upstreams", at),
    { kind: "list_members" },
    { kind: "state_member", leaving: false },
    scheduleExchange(state, at),
  ],
  timer_fired: (state, { timer, at }) => handleTimer(state, timer, at),
  stop_requested: (state, { at }) => requestStop(state, at),
};

/**
 * Milliseconds without a request after which a stopping process exits. Callers
 * use its address for up to three times the lifetime that they were given.
 */
const minQuietMs = 2_500;

/** Minimum milliseconds for which a stopping process accepts requests. */
const minStopMs = 3_000;

/** Retry delay for callers whose queued request a stop ends, in milliseconds. */
const stoppedRetryMs = 50;

const timerHandlers: TimerHandlers<RelayState, RelayTimer, RelayEffect> = {
  exchange: (state, _timer, at) => [
    ...exchangeWithPeers(state, at),
    scheduleExchange(state, at),
  ],
  release_backlogs: (state, _timer, at) => {
    state.isReleaseScheduled = false;
    const effects = releaseBacklogs(state, at);
    return [
      ...effects,
      ...askForQueues(state, at),
      ...scheduleRelease(state, at),
    ];
  },
  follow_upstreams: (state, { dueAt }, at) =>
    readIfDue(state, "upstreams", { dueAt, at }),
  follow_routing: (state, { dueAt }, at) =>
    readIfDue(state, "routing", { dueAt, at }),
  list_members: (state, _timer, at) => listMembersIfDue(state, at),
  state_member: (state) => [
    { kind: "state_member", leaving: state.stopping },
  ],
  read_suspects: () => [{ kind: "read_suspects" }],
  state_suspects: (state) => [
    { kind: "state_suspects", records: state.suspects.quarantined },
  ],
  confirm_removals: (state, _timer, at) => {
    const { unconfirmedUpstreams } = state;
    return unconfirmedUpstreams === null ||
        at.monotonic < state.keepMissingUntil
      ? []
      : applyUpstreams(state, unconfirmedUpstreams, at);
  },
  request_deadline: (state, { exchangeId }, at) =>
    expireRequest(state, exchangeId, at),
  place_pending: (state, { exchangeId, dueAt }, at) =>
    placeOverdue(state, exchangeId, { dueAt, at }),
  refuse_unconfirmed: (state, { exchangeId }, at) =>
    refuseUnconfirmed(state, exchangeId, at),
  depart: (state, { exchangeId }, at) => depart(state, exchangeId, at),
  retry_resumption: (state, { exchangeId }, at) =>
    retryResumption(state, exchangeId, at),
  retry_stop: (state, { key }) => retryStop(state, key),
  check_engine: (state, { upstream }, at) => checkEngine(state, upstream, at),
  probe_upstreams: (state, _timer, at) => continueProbes(state, at),
  check_stop: (state, _timer, at) => checkStop(state, at),
};

const handleTimer = createTimerHandler(timerHandlers);

function scheduleExchange(state: RelayState, at: Moment): RelayEffect {
  const dueAt = Math.max(
    state.fleet.nextPollAt(at),
    at.monotonic + timerPeriodsMs.exchange,
  );
  return { kind: "set_timer", timer: { kind: "exchange" }, at: dueAt };
}

function schedulePeriodic(
  kind: keyof typeof timerPeriodsMs,
  at: Moment,
): RelayEffect {
  const dueAt = at.monotonic + timerPeriodsMs[kind];
  return { kind: "set_timer", timer: { kind }, at: dueAt };
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
    recordDecision(state, {
      kind: "member",
      subject: state.settings.vm,
      reason: "leaving",
      figures: { requests: state.requests.size },
    }, at),
    { kind: "state_member", leaving: true },
    { kind: "close_caller_connections" },
    ...sendDueExchanges(state, at),
    schedulePeriodic("check_stop", at),
  ];
}

/**
 * Exits once no request is open and none has arrived for `minQuietMs`, or at
 * the stop deadline. Requests without an answer get a final one before.
 */
function checkStop(state: RelayState, at: Moment): readonly RelayEffect[] {
  const now = at.monotonic;
  const stopRequestedAt = state.stopDeadline - state.settings.stopMs;
  const isQuiet = now - state.lastRequestAt >= minQuietMs &&
    now - stopRequestedAt >= minStopMs && state.requests.size === 0 &&
    state.unconfirmedRequests.size === 0;
  if (isQuiet || now >= state.stopDeadline) {
    const open = [...state.requests.values()];
    const deadline = state.stopDeadline;
    // Requests that arrive before the process has ended are refused.
    state.stopDeadline = Math.min(deadline, now);
    return [
      ...open.flatMap((request) => dropStopped(state, request, at)),
      ...refuseAllUnconfirmed(state, at),
      { kind: "exit", deadline },
    ];
  }
  const unanswered = now >= state.stopDeadline - finalAnswerMs
    ? [...state.requests.values()].filter(({ phase }) => phase !== "streaming")
    : [];
  return [
    ...unanswered.flatMap((request) => dropStopped(state, request, at)),
    schedulePeriodic("check_stop", at),
  ];
}

function dropStopped(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  return dropRequest(state, request, {
    reason: "process_stopped",
    errorIfNotRun: "draining",
    errorIfUnknown: "upstream_lost",
    outcome: "cancelled",
    retryAfterMs: stoppedRetryMs,
    at,
  });
}
